/**
 * Runs one replica: passes it inputs in order and executes its effects.
 *
 * @module
 */

import * as timers from "node:timers";
import { replication } from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import * as fleet from "../fleet/mod.ts";
import { createLog } from "../log/mod.ts";
import { LogCompactor } from "./log_compactor.ts";
import { StorageEffects } from "./storage_effects.ts";
import { MessageOutbox } from "./outbox.ts";
import { PendingProposals } from "./pending_proposals.ts";
import { Ticker } from "./ticker.ts";
import type { DriverOptions, LogPosition, ReplicaStatus } from "./types.ts";

/** Time after which a proposal is rejected with `OutcomeUnknown`. */
const DEFAULT_PROPOSAL_TIMEOUT_MS = 5_000;
const log = createLog("replication");

/**
 * One replica of the replicated log, with its storage, timers and transport.
 *
 * @example
 * ```ts
 * await using driver = new ReplicationDriver({
 *   self,
 *   store,
 *   machine,
 *   transport,
 *   onFailure: () => process.exit(1),
 * });
 * driver.start();
 * const { index } = await driver.propose("data");
 * ```
 */
export class ReplicationDriver implements AsyncDisposable {
  readonly self: replication.Member;
  #options: DriverOptions;
  #clock: () => number;
  #replica: replication.Replica;
  #pendingProposals: PendingProposals;
  #queuedProposals: replication.Proposal[] = [];
  #inputs: replication.Input[] = [];
  #isStepping = false;
  #outbox: MessageOutbox;
  #compactor: LogCompactor;
  #statusListeners = new Set<(status: ReplicaStatus) => void>();
  #storage: StorageEffects;
  #ticker: Ticker;
  #isStopped = false;
  #isDisposed = false;
  #unsubscribeFromStore: () => void;

  constructor(options: DriverOptions) {
    this.self = options.self;
    this.#options = options;
    this.#clock = options.clock ?? (() => performance.now());
    this.#ticker = new Ticker(this.#clock, () => this.#tick());
    const { snapshot, hardState, entries } = options.store.recovered;
    if (snapshot !== null) {
      options.machine.restore(snapshot.data);
    }
    this.#replica = this.#makeReplica(
      hardState,
      entries,
      snapshot?.metadata ?? null,
    );
    this.#outbox = new MessageOutbox(options.transport, () => this.membership);
    this.#compactor = new LogCompactor(
      options.store,
      options.machine,
      options.snapshotEntries,
    );
    this.#pendingProposals = new PendingProposals(
      options.self.id,
      (id) => this.findMember(id)?.address ?? null,
    );
    this.#storage = new StorageEffects({
      store: options.store,
      stateMachine: options.machine,
      compactor: this.#compactor,
      submitInput: (input) => this.#step(input),
      onSnapshotInstalled: (index) =>
        this.#pendingProposals.handleSnapshotInstalled(index),
      onFailure: (error) => this.#fail(error),
    });
    this.#unsubscribeFromStore = options.store.onSpaceChange((hasSpace) =>
      this.#step({ kind: "diskSpace", hasSpace })
    );
  }

  /** The current role, term and leader. */
  get status(): ReplicaStatus {
    const { role, term, leader } = this.#replica;
    return {
      role,
      term,
      leader: leader === null ? null : this.findMember(leader),
    };
  }

  /** The membership in effect, which may not be committed yet. */
  get membership(): replication.Membership {
    return this.#replica.membership;
  }

  /** Highest log index known to be committed. */
  get commitIndex(): number {
    return this.#replica.commitIndex;
  }

  /** Highest log index applied to the state machine. */
  get appliedIndex(): number {
    return this.#replica.appliedIndex;
  }

  /** Index of the last entry, committed or not. */
  get lastIndex(): number {
    return this.#replica.lastIndex;
  }

  /** Entries that are not applied yet, committed or not. */
  get unappliedEntries(): replication.Entry[] {
    return this.#replica.unappliedEntries;
  }

  /** Whether this replica has a log and so belongs to a group. */
  get hasLog(): boolean {
    return this.#replica.lastIndex > 0;
  }

  /**
   * Clock value until which no other replica can lead; see
   * `Replica.leaseUntil`.
   */
  get leaseUntil(): number {
    return this.#isStopped ? -Infinity : this.#replica.leaseUntil;
  }

  /** Whether this replica holds the leader lease now. Check right before use. */
  hasLease(): boolean {
    return !this.#isStopped && this.#replica.hasLease(this.#clock());
  }

  /** The identity of this replica, for the bootstrap of the group. */
  identity(): protocol.replication.Identity {
    const hasFirstEntry = this.#replica.termAt(1) !== null;
    return {
      member: this.self,
      empty: this.#isEmpty,
      formation: hasFirstEntry ? this.#replica.membershipAt(1) : null,
    };
  }

  /**
   * Highest log index that a member holds, and the time since the send of the
   * last message that it answered; null when unknown.
   */
  progressOf(id: string): { matchIndex: number; silenceMs: number } | null {
    if (id === this.self.id) {
      return { matchIndex: this.#replica.lastIndex, silenceMs: 0 };
    }
    const matchIndex = this.#replica.matchIndexOf(id);
    const silenceMs = this.#replica.lastReplyAgeMs(id, this.#clock());
    return matchIndex === null || silenceMs === null
      ? null
      : { matchIndex, silenceMs };
  }

  /** Finds a member by id in the membership, or among recent senders. */
  findMember(id: string): replication.Member | null {
    return this.#outbox.findMember(id);
  }

  /** Starts the ticks of the replica. */
  start(): void {
    this.#ticker.start();
  }

  /**
   * Calls a listener on every change of role, term or leader.
   *
   * @returns removes the listener
   */
  onStatusChange(listener: (status: ReplicaStatus) => void): () => void {
    this.#statusListeners.add(listener);
    return () => this.#statusListeners.delete(listener);
  }

  /**
   * Proposes a command; resolves when it has been committed and applied here.
   *
   * @throws {fleet.NotLeader} the command was not and will not be committed
   * @throws {fleet.OutcomeUnknown} the command may still be committed
   * @throws {TooLarge} the command does not fit into one message
   * @throws {Overloaded} too many entries are uncommitted
   */
  propose(data: string): Promise<LogPosition> {
    const step = "replication.propose";
    if (this.#isStopped) {
      return Promise.reject(new fleet.NotLeader(step, this.self.id, null));
    }
    const { id, result } = this.#addProposal(step);
    const proposal = { id, data };
    if (this.#options.groupCommit === false) {
      this.#step({ kind: "propose", proposals: [proposal] });
      return result;
    }
    if (this.#queuedProposals.length === 0) {
      timers.setImmediate(() => this.#flushProposals());
    }
    this.#queuedProposals.push(proposal);
    return result;
  }

  /**
   * Proposes a change of one member; resolves when it has been committed.
   *
   * @throws {ChangeRefused} the change was refused; the error has the reason
   * @throws {fleet.NotLeader} the membership was not changed
   * @throws {fleet.OutcomeUnknown} the change may still be committed
   */
  changeMembership(
    change: replication.MembershipChangeRequest,
  ): Promise<LogPosition> {
    const step = "replication.changeMembership";
    if (this.#isStopped) {
      return Promise.reject(new fleet.NotLeader(step, this.self.id, null));
    }
    const { id, result } = this.#addProposal(step);
    this.#step({ kind: "changeMembership", id, change });
    return result;
  }

  /**
   * Starts a transfer of leadership to a voter. A successful transfer shows as a
   * change of status.
   */
  transferLeadership(to: string): void {
    this.#step({ kind: "transferLeadership", to });
  }

  /** Processes messages from another replica. */
  receive(batch: protocol.replication.MessageBatch): void {
    const { from, to, messages } = batch;
    if (to !== this.self.id || this.#isStopped) {
      return;
    }
    this.#outbox.recordAddress(from);
    for (const message of messages) {
      const isVoteRequest = message.kind === "vote" ||
        message.kind === "preVote";
      if (isVoteRequest && this.#replica.lastIndex === 0) {
        continue; // A replica without a log doesn't belong to a group yet.
      }
      this.#step({ kind: "message", from: from.id, message });
    }
  }

  /**
   * Writes the initial membership of the group to an empty store. Every initial
   * voter must use the same membership.
   *
   * @returns false when the log is not empty, the driver is stopped or the write
   * failed
   */
  async bootstrap(membership: replication.Membership): Promise<boolean> {
    if (this.#replica.lastIndex > 0 || this.#isStopped) {
      return false;
    }
    this.#isStopped = true;
    const { hardState, entries } = replication.bootstrapState(membership);
    const term = Math.max(hardState.term, this.#replica.term);
    const initialState = { term, vote: null };
    try {
      await this.#storage.persistBootstrap(initialState, entries);
    } catch (error) {
      if (!this.#isDisposed) {
        this.#options.onFailure(error);
      }
      return false;
    }
    this.#replica = this.#makeReplica(initialState, entries, null);
    this.#isStopped = false;
    const voters = membership.voters.map(({ id }) => id).join(",");
    log("formed", { voters });
    return true;
  }

  /** Stops the replica; the store and the transport stay open. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.#isDisposed = true;
    this.#unsubscribeFromStore();
    this.#stop();
    await this.#storage.waitForPending();
  }

  get #isEmpty(): boolean {
    return this.#replica.lastIndex === 0 && this.#replica.term === 0;
  }

  #makeReplica(
    hardState: replication.HardState,
    entries: replication.Entry[],
    snapshot: replication.SnapshotMetadata | null,
  ): replication.Replica {
    const { random, settings } = this.#options;
    return new replication.Replica({
      self: this.self.id,
      hardState,
      snapshot,
      entries,
      random: random ?? Math.random,
      now: this.#clock(),
      ...(settings === undefined ? {} : { settings }),
    });
  }

  #addProposal(step: string): { id: number; result: Promise<LogPosition> } {
    const timeoutMs = this.#options.proposalTimeoutMs ??
      DEFAULT_PROPOSAL_TIMEOUT_MS;
    return this.#pendingProposals.add(step, this.#clock() + timeoutMs);
  }

  #flushProposals(): void {
    const proposals = this.#queuedProposals;
    this.#queuedProposals = [];
    if (proposals.length > 0) {
      this.#step({ kind: "propose", proposals });
    }
  }

  #tick(): void {
    this.#step({ kind: "tick" });
    this.#pendingProposals.expire(this.#clock());
  }

  /**
   * Passes an input to the replica and executes the effects. Inputs that arise
   * while effects are executed are queued.
   */
  #step(input: replication.Input): void {
    this.#inputs.push(input);
    if (this.#isStepping) {
      return;
    }
    this.#isStepping = true;
    try {
      while (this.#inputs.length > 0 && !this.#isStopped) {
        const nextInput = this.#inputs.shift() as replication.Input;
        const effects = this.#replica.step(nextInput, this.#clock());
        effects.forEach((effect) => this.#execute(effect));
      }
    } catch (error) {
      this.#fail(error);
    } finally {
      this.#inputs = [];
      this.#isStepping = false;
    }
    if (!this.#isStopped) {
      void this.#storage.compactIfDue(this.#replica);
    }
  }

  #execute(effect: replication.Effect): void {
    switch (effect.kind) {
      case "persist":
        this.#storage.persist(effect);
        return;
      case "installSnapshot":
        this.#storage.installSnapshot(effect);
        return;
      case "send":
        this.#outbox.send(effect.to, effect.message);
        return;
      case "apply":
        this.#apply(effect.entries);
        return;
      case "outcome":
        this.#pendingProposals.handleOutcome(effect.outcome);
        return;
      case "status":
        this.#notifyStatusListeners();
        return;
      case "membership":
        log("membership", {
          voters: effect.membership.voters.map(({ id }) => id).join(","),
          learners: effect.membership.learners.map(({ id }) => id).join(","),
        });
        return;
      case "readSnapshotPart":
        void this.#storage.readSnapshotPart(effect);
        return;
      default:
        protocol.errors.assertNever(effect);
    }
  }

  #apply(entries: replication.Entry[]): void {
    this.#options.machine.apply(entries);
    this.#pendingProposals.handleApplied(entries);
    this.#compactor.recordApplied(entries);
  }

  #notifyStatusListeners(): void {
    const { status } = this;
    const { role, term, leader } = status;
    log("status", { role, term, leader: leader?.id ?? "unknown" });
    if (role !== "leader" && !this.#options.store.hasSpace) {
      // Nothing is applied here until the disk has space, so no commit is seen.
      this.#pendingProposals.rejectAll();
    }
    this.#statusListeners.forEach((listener) => listener(status));
  }

  /**
   * Stops the replica for good after a failure of its store or state machine, so
   * that it takes no further part in the group.
   */
  #fail(error: unknown): void {
    if (this.#isStopped) {
      return;
    }
    this.#stop();
    log("failed", { error });
    this.#options.onFailure(error);
  }

  #stop(): void {
    this.#isStopped = true;
    this.#ticker.stop();
    this.#pendingProposals.rejectAll();
  }
}
