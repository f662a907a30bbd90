/**
 * Drives one replica with a clock, a disk, timers and links.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import * as process from "node:process";
import * as timers from "node:timers";
import { replication } from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import * as fleet from "../fleet/mod.ts";
import { createLog } from "../log/mod.ts";
import type * as storage from "../storage/mod.ts";
import { Proposals } from "./proposals.ts";
import type { Position, StateMachine, Status, Transport } from "./types.ts";

/** Interval of the replica's clock, in milliseconds. */
const TICK_MS = 20;
/** A tick that is this late lets waiting messages go first. */
const STALL_MS = 200;
/** Applied entries after which a snapshot is taken. */
const SNAPSHOT_ENTRIES = 10_000;
/** Bytes of applied commands after which a snapshot is taken. */
const SNAPSHOT_BYTES = 16 * 1024 * 1024;
/** How much longer the log may grow while a snapshot is being sent. */
const SNAPSHOT_PATIENCE = 2;
/** Time after which a proposal ends in `OutcomeUnknown`. */
const PROPOSAL_TIMEOUT_MS = 5_000;
/** Addresses learned from messages. */
const MAXIMUM_ADDRESSES = 64;

/** What a driver owns and is told. */
export type DriverOptions = {
  /** This replica as the others reach it; the id is that of the store. */
  self: replication.Member;
  store: storage.Store;
  machine: StateMachine;
  transport: Transport;
  /** Called once, when the store has failed. The process must end. */
  onFailure: (error: unknown) => void;
  /** Monotonic clock in milliseconds. */
  clock?: () => number;
  /** Source of random numbers in [0, 1). */
  random?: () => number;
  settings?: Partial<replication.Settings>;
  /** Applied entries after which a snapshot is taken. */
  snapshotEntries?: number;
  /** Time after which a proposal ends in `OutcomeUnknown`, in milliseconds. */
  proposalTimeoutMs?: number;
};

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
  #outgoing = new Map<string, replication.Message[]>();
  #addresses = new Map<string, replication.Member>();
  #statusListeners = new Set<(status: Status) => void>();
  #synced: Promise<unknown> = Promise.resolve();
  #timer: NodeJS.Timeout | null = null;
  #lastTick = 0;
  #bytesSinceSnapshot = 0;
  #isSavingSnapshot = false;
  #isStopped = false;

  constructor(options: DriverOptions) {
    this.self = options.self;
    this.#options = options;
    this.#clock = options.clock ?? (() => performance.now());
    const { snapshot, hardState, entries } = options.store.recovered;
    if (snapshot !== null) {
      options.machine.restore(snapshot.data);
    }
    this.#replica = this.#makeReplica(
      hardState,
      entries,
      snapshot?.metadata ?? null,
    );
    this.#proposals = new Proposals(
      options.self.id,
      (id) => this.memberOf(id)?.address ?? null,
    );
  }

  /** Role, term and leader. */
  get status(): Status {
    const { role, term, leader } = this.#replica;
    return {
      role,
      term,
      leader: leader === null ? null : this.memberOf(leader),
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
    const silenceMs = this.#replica.silenceOf(id, this.#clock());
    return matchIndex === null || silenceMs === null
      ? null
      : { matchIndex, silenceMs };
  }

  /** A member by its id, from the membership or from its messages. */
  memberOf(id: string): replication.Member | null {
    const members = replication.allMembers(this.#replica.membership);
    const member = members.find((candidate) => candidate.id === id);
    return member ?? this.#addresses.get(id) ?? null;
  }

  /** Starts the clock. */
  start(): void {
    this.#lastTick = this.#clock();
    this.#timer ??= timers.setInterval(() => this.#tick(), TICK_MS);
  }

  /** Calls a listener on every change of role, term or leader. */
  onStatus(listener: (status: Status) => void): () => void {
    this.#statusListeners.add(listener);
    return () => this.#statusListeners.delete(listener);
  }

  /**
   * Appends a command; resolves when it's committed and applied here.
   *
   * @throws {fleet.NotLeader} it was not and will not be committed
   * @throws {fleet.OutcomeUnknown} it may yet be committed
   * @throws {Overloaded} too many entries wait for their commit
   */
  propose(data: string): Promise<Position> {
    const step = "replication.propose";
    if (this.#isStopped) {
      return Promise.reject(new fleet.NotLeader(step, this.self.id, null));
    }
    const { id, result } = this.#addProposal(step);
    if (this.#queued.length === 0) {
      timers.setImmediate(() => this.#flushProposals());
    }
    this.#queued.push({ id, data });
    return result;
  }

  /**
   * Changes one member; resolves when the change is committed.
   *
   * @throws {ChangeRefused} with the reason
   * @throws {fleet.NotLeader} nothing was changed
   * @throws {fleet.OutcomeUnknown} it may yet be changed
   */
  changeMembership(change: replication.MembershipChange): Promise<Position> {
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
    this.#learn(from);
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
  async form(membership: replication.Membership): Promise<boolean> {
    if (this.#replica.lastIndex > 0 || this.#isStopped) {
      return false;
    }
    this.#isStopped = true;
    const { hardState, entries } = replication.formation(membership);
    const term = Math.max(hardState.term, this.#replica.term);
    const formed = { term, vote: null };
    try {
      await this.#synced;
      await this.#options.store.persist({ hardState: formed, entries });
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
    await this.#synced.catch(() => undefined);
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

  #addProposal(step: string): { id: number; result: Promise<Position> } {
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

  /** After a stall the messages that wait in sockets go before the clock. */
  #tick(): void {
    const now = this.#clock();
    const lateMs = now - this.#lastTick - TICK_MS;
    this.#lastTick = now;
    if (lateMs < STALL_MS) {
      this.#step({ kind: "tick" });
    } else {
      log("stalled", { late_ms: Math.round(lateMs) });
      timers.setTimeout(() => this.#step({ kind: "tick" }), 0);
    }
    this.#proposals.expire(now);
  }

  #learn(member: replication.Member): void {
    this.#addresses.delete(member.id);
    this.#addresses.set(member.id, member);
    const oldest = this.#addresses.keys().next().value;
    if (this.#addresses.size > MAXIMUM_ADDRESSES && oldest !== undefined) {
      this.#addresses.delete(oldest);
    }
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
    this.#takeSnapshotIfDue();
  }

  #carryOut(effect: replication.Effect): void {
    switch (effect.kind) {
      case "persist":
        this.#afterSync(effect.sequence, this.#options.store.persist(effect));
        return;
      case "installSnapshot":
        this.#install(effect);
        return;
      case "send":
        this.#send(effect.to, effect.message);
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
        void this.#readSnapshotPart(effect);
        return;
      default:
        protocol.errors.assertNever(effect);
    }
  }

  /** Tells the replica of syncs in their order. */
  #afterSync(sequence: number, sync: Promise<void>): void {
    const before = this.#synced;
    this.#synced = Promise.all([before, sync]).then(
      () => this.#step({ kind: "persisted", sequence }),
      (error) => this.#fail(error),
    );
  }

  #install(
    effect: Extract<replication.Effect, { kind: "installSnapshot" }>,
  ): void {
    const { snapshot, parts, keepEntries, sequence } = effect;
    const data = Buffer.concat(
      parts.map((part) => Buffer.from(part, "base64")),
    );
    const { store, machine } = this.#options;
    const saved = store.saveSnapshot({ metadata: snapshot, data, keepEntries });
    const restored = Promise.all([this.#synced, saved]).then(() => {
      machine.restore(data);
      this.#bytesSinceSnapshot = 0;
      this.#proposals.covered(snapshot.index);
      log("snapshot_installed", { index: snapshot.index });
    });
    this.#afterSync(sequence, restored);
  }

  #send(to: string, message: replication.Message): void {
    if (this.#outgoing.size === 0) {
      process.nextTick(() => this.#flushOutgoing());
    }
    const messages = this.#outgoing.get(to);
    if (messages === undefined) {
      this.#outgoing.set(to, [message]);
    } else {
      messages.push(message);
    }
  }

  #flushOutgoing(): void {
    const outgoing = this.#outgoing;
    this.#outgoing = new Map();
    for (const [id, messages] of outgoing) {
      const member = this.memberOf(id);
      if (member !== null && !this.#isStopped) {
        this.#options.transport.send(member, messages);
      }
    }
  }

  #apply(entries: replication.Entry[]): void {
    this.#options.machine.apply(entries);
    this.#proposals.applied(entries);
    for (const { payload } of entries) {
      if (payload.kind === "command") {
        this.#bytesSinceSnapshot += payload.data.length;
      }
    }
  }

  #reportStatus(): void {
    const { status } = this;
    const { role, term, leader } = status;
    log("status", { role, term, leader: leader?.id ?? "unknown" });
    this.#statusListeners.forEach((listener) => listener(status));
  }

  async #readSnapshotPart(
    { to, index, offset, length }: Extract<
      replication.Effect,
      { kind: "readSnapshotPart" }
    >,
  ): Promise<void> {
    try {
      const { store } = this.#options;
      const part = await store.readSnapshot(index, offset, length);
      if (part !== null) {
        const data = part.toString("base64");
        this.#step({ kind: "snapshotPart", to, index, offset, data });
      }
    } catch (error) {
      this.#fail(error);
    }
  }

  #takeSnapshotIfDue(): void {
    const limit = this.#options.snapshotEntries ?? SNAPSHOT_ENTRIES;
    const { appliedIndex, snapshot, sendingSnapshot } = this.#replica;
    const count = appliedIndex - (snapshot?.index ?? 0);
    const growth = Math.max(
      count / limit,
      this.#bytesSinceSnapshot / SNAPSHOT_BYTES,
    );
    const threshold = sendingSnapshot ? SNAPSHOT_PATIENCE : 1;
    if (growth >= threshold && !this.#isSavingSnapshot && !this.#isStopped) {
      void this.#saveSnapshot(appliedIndex);
    }
  }

  async #saveSnapshot(index: number): Promise<void> {
    const term = this.#replica.termAt(index);
    if (term === null) {
      return;
    }
    this.#isSavingSnapshot = true;
    this.#bytesSinceSnapshot = 0;
    try {
      const data = this.#options.machine.takeSnapshot();
      const membership = this.#replica.membershipAt(index);
      const metadata = { index, term, membership, bytes: data.length };
      const saved = { metadata, data, keepEntries: true };
      await this.#options.store.saveSnapshot(saved);
      log("snapshot_saved", { index, bytes: data.length });
      this.#step({ kind: "snapshotTaken", snapshot: metadata });
    } catch (error) {
      this.#fail(error);
    } finally {
      this.#isSavingSnapshot = false;
    }
  }

  /** A replica whose disk or state machine failed takes no further part. */
  #fail(error: unknown): void {
    if (this.#isStopped) {
      return;
    }
    this.#stop();
    const reason = error instanceof Error ? error.message : String(error);
    log("failed", { reason });
    this.#options.onFailure(error);
  }

  #stop(): void {
    this.#isStopped = true;
    if (this.#timer !== null) {
      timers.clearInterval(this.#timer);
      this.#timer = null;
    }
    this.#proposals.abandon();
  }
}
