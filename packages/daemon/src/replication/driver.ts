/**
 * Drives one replica: inputs in their order, effects to whom they concern.
 *
 * @module
 */

import * as timers from "node:timers";
import { replication } from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import * as fleet from "../fleet/mod.ts";
import { createLog } from "../log/mod.ts";
import { Compaction } from "./compaction.ts";
import { DiskWork } from "./disk_work.ts";
import { Outbox } from "./outbox.ts";
import { Proposals } from "./proposals.ts";
import { Ticker } from "./ticker.ts";
import type { DriverOptions, LogPosition, ReplicaStatus } from "./types.ts";

/** Time after which a proposal ends in `OutcomeUnknown`. */
const PROPOSAL_TIMEOUT_MS = 5_000;
const log = createLog("replication");

/**
 * One replica of the log in a process.
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
  #proposals: Proposals;
  #queued: replication.Proposal[] = [];
  #inputs: replication.Input[] = [];
  #isStepping = false;
  #outbox: Outbox;
  #compaction: Compaction;
  #statusListeners = new Set<(status: ReplicaStatus) => void>();
  #disk: DiskWork;
  #ticker: Ticker;
  #isStopped = false;

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
    this.#outbox = new Outbox(options.transport, () => this.membership);
    this.#compaction = new Compaction(
      options.store,
      options.machine,
      options.snapshotEntries,
    );
    this.#proposals = new Proposals(
      options.self.id,
      (id) => this.findMember(id)?.address ?? null,
    );
    this.#disk = new DiskWork({
      store: options.store,
      machine: options.machine,
      compaction: this.#compaction,
      tell: (input) => this.#step(input),
      onInstalled: (index) => this.#proposals.covered(index),
      onFailure: (error) => this.#fail(error),
    });
  }

  /** Role, term and leader. */
  get status(): ReplicaStatus {
    const { role, term, leader } = this.#replica;
    return {
      role,
      term,
      leader: leader === null ? null : this.findMember(leader),
    };
  }

  /** The membership in effect. */
  get membership(): replication.Membership {
    return this.#replica.membership;
  }

  /** Index up to which entries are known to be committed. */
  get commitIndex(): number {
    return this.#replica.commitIndex;
  }

  /** Index up to which the state machine has applied the log. */
  get appliedIndex(): number {
    return this.#replica.appliedIndex;
  }

  /** Index of the last entry, committed or not. */
  get lastIndex(): number {
    return this.#replica.lastIndex;
  }

  /** Whether this replica holds a log, so that it belongs to a group. */
  get hasLog(): boolean {
    return this.#replica.lastIndex > 0;
  }

  /** Clock value until which nobody else can lead; see `Replica.leaseUntil`. */
  get leaseUntil(): number {
    return this.#isStopped ? -Infinity : this.#replica.leaseUntil;
  }

  /** Whether this replica leads under a lease now. Ask at the moment of use. */
  hasLease(): boolean {
    return !this.#isStopped && this.#replica.hasLease(this.#clock());
  }

  /** Who this replica is, for others that form the group. */
  identity(): protocol.replication.Identity {
    const isFormed = this.#replica.termAt(1) !== null;
    return {
      member: this.self,
      empty: this.#isEmpty,
      formation: isFormed ? this.#replica.membershipAt(1) : null,
    };
  }

  /** How far a member holds the log of this leader; null when unknown. */
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

  /** A member by its id, from the membership or from its messages. */
  findMember(id: string): replication.Member | null {
    return this.#outbox.memberOf(id);
  }

  /** Starts the clock. */
  start(): void {
    this.#ticker.start();
  }

  /** Calls a listener on every change of role, term or leader. */
  onStatusChange(listener: (status: ReplicaStatus) => void): () => void {
    this.#statusListeners.add(listener);
    return () => this.#statusListeners.delete(listener);
  }

  /**
   * Appends a command; resolves when it's committed and applied here.
   *
   * @throws {fleet.NotLeader} it was not and will not be committed
   * @throws {fleet.OutcomeUnknown} it may yet be committed
   * @throws {TooLarge} the command doesn't fit into one message
   * @throws {Overloaded} too many entries wait for their commit
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
    if (this.#queued.length === 0) {
      timers.setImmediate(() => this.#flushProposals());
    }
    this.#queued.push(proposal);
    return result;
  }

  /**
   * Changes one member; resolves when the change is committed.
   *
   * @throws {ChangeRefused} with the reason
   * @throws {fleet.NotLeader} nothing was changed
   * @throws {fleet.OutcomeUnknown} it may yet be changed
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

  /** Asks a voter to take over. It shows in the status when it has. */
  transferLeadership(to: string): void {
    this.#step({ kind: "transferLeadership", to });
  }

  /** Takes messages of another replica. */
  receive(batch: protocol.replication.MessageBatch): void {
    const { from, to, messages } = batch;
    if (to !== this.self.id || this.#isStopped) {
      return;
    }
    this.#outbox.learn(from);
    for (const message of messages) {
      const asksVote = message.kind === "vote" || message.kind === "preVote";
      if (asksVote && this.#replica.lastIndex === 0) {
        continue; // A replica without a log belongs to no group yet.
      }
      this.#step({ kind: "message", from: from.id, message });
    }
  }

  /**
   * Writes the first membership of the group to an empty disk.
   * Every initial voter must form with the same membership.
   */
  async bootstrap(membership: replication.Membership): Promise<boolean> {
    if (this.#replica.lastIndex > 0 || this.#isStopped) {
      return false;
    }
    this.#isStopped = true;
    const { hardState, entries } = replication.bootstrapState(membership);
    const term = Math.max(hardState.term, this.#replica.term);
    const formed = { term, vote: null };
    try {
      await this.#disk.form(formed, entries);
    } catch (error) {
      this.#options.onFailure(error);
      return false;
    }
    this.#replica = this.#makeReplica(formed, entries, null);
    this.#isStopped = false;
    const voters = membership.voters.map(({ id }) => id).join(",");
    log("formed", { voters });
    return true;
  }

  /** Stops; the store and the transport stay open. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.#stop();
    await this.#disk.settle();
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
    const timeoutMs = this.#options.proposalTimeoutMs ?? PROPOSAL_TIMEOUT_MS;
    return this.#proposals.add(step, this.#clock() + timeoutMs);
  }

  #flushProposals(): void {
    const proposals = this.#queued;
    this.#queued = [];
    if (proposals.length > 0) {
      this.#step({ kind: "propose", proposals });
    }
  }

  #tick(): void {
    this.#step({ kind: "tick" });
    this.#proposals.expire(this.#clock());
  }

  /** Inputs that come up while effects are carried out wait for their end. */
  #step(input: replication.Input): void {
    this.#inputs.push(input);
    if (this.#isStepping) {
      return;
    }
    this.#isStepping = true;
    try {
      while (this.#inputs.length > 0 && !this.#isStopped) {
        const next = this.#inputs.shift() as replication.Input;
        const effects = this.#replica.step(next, this.#clock());
        effects.forEach((effect) => this.#carryOut(effect));
      }
    } catch (error) {
      this.#fail(error);
    } finally {
      this.#inputs = [];
      this.#isStepping = false;
    }
    if (!this.#isStopped) {
      void this.#disk.compact(this.#replica);
    }
  }

  #carryOut(effect: replication.Effect): void {
    switch (effect.kind) {
      case "persist":
        this.#disk.persist(effect);
        return;
      case "installSnapshot":
        this.#disk.install(effect);
        return;
      case "send":
        this.#outbox.send(effect.to, effect.message);
        return;
      case "apply":
        this.#apply(effect.entries);
        return;
      case "outcome":
        this.#proposals.answer(effect.outcome);
        return;
      case "status":
        this.#reportStatus();
        return;
      case "membership":
        log("membership", {
          voters: effect.membership.voters.map(({ id }) => id).join(","),
          learners: effect.membership.learners.map(({ id }) => id).join(","),
        });
        return;
      case "readSnapshotPart":
        void this.#disk.readPart(effect);
        return;
      default:
        protocol.errors.assertNever(effect);
    }
  }

  #apply(entries: replication.Entry[]): void {
    this.#options.machine.apply(entries);
    this.#proposals.applied(entries);
    this.#compaction.applied(entries);
  }

  #reportStatus(): void {
    const { status } = this;
    const { role, term, leader } = status;
    log("status", { role, term, leader: leader?.id ?? "unknown" });
    this.#statusListeners.forEach((listener) => listener(status));
  }

  /** A replica whose disk or state machine failed takes no further part. */
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
    this.#proposals.abandon();
  }
}
