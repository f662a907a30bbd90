/**
 * Dispatches inputs to the roles of a replica and collects their effects.
 *
 * @module
 */

import * as protocol from "@ebonypath/protocol";
import { Context } from "./context.ts";
import { Election } from "./election.ts";
import { Follower } from "./follower.ts";
import { LeaderState } from "./leader_state.ts";
import { changeMembership } from "./membership_change.ts";
import { isMember } from "./membership.ts";
import { SnapshotReceiver } from "./snapshot_receiver.ts";
import type {
  Effect,
  Entry,
  Input,
  Membership,
  Message,
  Options,
  Role,
  SnapshotMetadata,
} from "./types.ts";

type LeaderMessage = Extract<
  Message,
  { kind: "append" | "heartbeat" | "snapshotPart" }
>;
type FollowerReply = Extract<
  Message,
  { kind: "appendReply" | "heartbeatReply" | "snapshotReply" }
>;

/**
 * Replica of the replicated log.
 *
 * It has no clock, timer, disk or socket. Its owner calls {@link Replica.step}
 * with inputs and a monotonic clock value and carries out the effects in order.
 *
 * @example
 * ```ts
 * const replica = new Replica({
 *   self: "c1-5f2a",
 *   hardState: { term: 1, vote: null },
 *   snapshot: null,
 *   entries,
 *   random: Math.random,
 *   now: performance.now(),
 * });
 * for (const effect of replica.step({ kind: "tick" }, performance.now())) {
 *   execute(effect);
 * }
 * ```
 */
export class Replica {
  #context: Context;
  #election: Election;
  #follower: Follower;
  #leaderState: LeaderState;
  #snapshotReceiver: SnapshotReceiver;
  #lastReportedStatus = "";

  constructor(options: Options) {
    const context = new Context(options);
    this.#context = context;
    this.#leaderState = new LeaderState(context);
    this.#follower = new Follower(context);
    this.#snapshotReceiver = new SnapshotReceiver(context);
    this.#election = new Election(
      context,
      () => this.#isInLeaderLease(),
      () => this.#leaderState.start(),
    );
  }

  /** Id of this replica. */
  get self(): string {
    return this.#context.self;
  }

  /** Current Raft role. */
  get role(): Role {
    return this.#context.role;
  }

  /** Id of the leader, if known. */
  get leader(): string | null {
    return this.#context.leader;
  }

  /** Current term. */
  get term(): number {
    return this.#context.term;
  }

  /** Index up to which entries are known to be committed. */
  get commitIndex(): number {
    return this.#context.commitIndex;
  }

  /** Index up to which entries were emitted to be applied. */
  get appliedIndex(): number {
    return this.#context.appliedIndex;
  }

  /** Index of the last log entry. */
  get lastIndex(): number {
    return this.#context.log.lastIndex;
  }

  /** Entries that are not applied yet, committed or not. */
  get unappliedEntries(): Entry[] {
    const { appliedIndex, log } = this.#context;
    return log.slice(appliedIndex + 1, log.lastIndex);
  }

  /** The effective membership, which may not be committed yet. */
  get membership(): Membership {
    return this.#context.memberships.current;
  }

  /** Index of the entry that set the effective membership. */
  get membershipIndex(): number {
    return this.#context.memberships.currentIndex;
  }

  /** Metadata of the latest snapshot, if there is one. */
  get snapshot(): SnapshotMetadata | null {
    return this.#context.snapshot;
  }

  /** Whether a snapshot is being sent to another replica. */
  get isSendingSnapshot(): boolean {
    return this.#leaderState.isSendingSnapshot;
  }

  /** Whether a leadership transfer is in progress. */
  get isTransferringLeadership(): boolean {
    return this.#leaderState.isTransferringLeadership;
  }

  /**
   * Clock value until which no other replica can be elected, as of the last
   * step; -Infinity if there is no such guarantee.
   */
  get leaseUntil(): number {
    return this.#leaderState.leaseUntil;
  }

  /**
   * Whether this replica is leader, has committed an entry of its term, and no
   * other replica can be leader at `now`. Check immediately before relying on
   * the lease.
   */
  hasLease(now: number): boolean {
    return this.#context.role === "leader" &&
      this.#leaderState.hasCommittedInTerm && now < this.leaseUntil;
  }

  /**
   * Index up to which a replica is known to hold the leader's log; null if this
   * replica does not lead or does not know the other one.
   */
  matchIndexOf(id: string): number | null {
    return this.#leaderState.progressOf(id)?.matchIndex ?? null;
  }

  /**
   * Milliseconds since the leader sent the latest message that a replica has
   * answered; null if this replica does not lead or got no answer yet.
   */
  lastReplyAgeMs(id: string, now: number): number | null {
    const sentAt = this.#leaderState.progressOf(id)?.ackedSentAt;
    const hasReplied = sentAt !== undefined && Number.isFinite(sentAt);
    return hasReplied ? now - sentAt : null;
  }

  /** The membership after the entry at `index`. */
  membershipAt(index: number): Membership {
    return this.#context.memberships.at(index);
  }

  /** Term of the entry at `index`; null if it is not in memory. */
  termAt(index: number): number | null {
    return this.#context.log.termAt(index) ?? null;
  }

  /** Processes one input at a monotonic clock value in milliseconds. */
  step(input: Input, now: number): Effect[] {
    const context = this.#context;
    context.now = Math.max(context.now, now);
    this.#dispatch(input);
    this.#leaderState.advanceCommit();
    context.applyCommitted();
    this.#reportStatus();
    return context.drainEffects();
  }

  #dispatch(input: Input): void {
    switch (input.kind) {
      case "tick":
        this.#leaderState.tick();
        this.#election.tick();
        return;
      case "message":
        this.#handleMessage(input.from, input.message);
        return;
      case "propose":
        this.#leaderState.propose(input.proposals);
        return;
      case "persisted":
        this.#handlePersisted(input.sequence);
        return;
      case "diskSpace":
        this.#context.hasDiskSpace = input.hasSpace;
        this.#leaderState.handOverIfDiskFull();
        return;
      case "snapshotTaken":
        this.#handleSnapshotTaken(input.snapshot);
        return;
      case "snapshotPart": {
        const progress = this.#leaderState.progressOf(input.to);
        if (progress !== undefined) {
          this.#leaderState.snapshotSender.sendPart(progress, input);
        }
        return;
      }
      case "changeMembership":
        changeMembership(
          this.#context,
          this.#leaderState,
          input.id,
          input.change,
        );
        return;
      case "transferLeadership":
        this.#leaderState.transferTo(input.to);
        return;
      default:
        protocol.errors.assertNever(input);
    }
  }

  #handleMessage(from: string, message: Message): void {
    switch (message.kind) {
      case "preVote":
        this.#election.handlePreVote(from, message);
        return;
      case "vote":
        this.#election.handleVote(from, message);
        return;
      case "preVoteReply":
        this.#election.handlePreVoteReply(from, message);
        return;
      case "voteReply":
        this.#election.handleVoteReply(from, message);
        return;
      case "append":
      case "heartbeat":
      case "snapshotPart":
        this.#handleLeaderMessage(from, message);
        return;
      case "appendReply":
      case "heartbeatReply":
      case "snapshotReply":
        this.#handleFollowerReply(from, message);
        return;
      case "timeoutNow":
        this.#election.handleTimeoutNow(from, message.term);
        return;
      default:
        protocol.errors.assertNever(message);
    }
  }

  #handleLeaderMessage(from: string, message: LeaderMessage): void {
    const context = this.#context;
    if (message.term < context.term) {
      this.#rejectStaleLeader(from, message.sentAt);
      return;
    }
    if (message.term > context.term) {
      context.becomeFollower(message.term, from);
    }
    if (context.role === "leader") {
      throw new Error(
        `${from} and ${context.self} are both leader in term ${context.term}`,
      );
    }
    context.recordLeaderContact(from);
    switch (message.kind) {
      case "append":
        this.#follower.handleAppend(from, message);
        return;
      case "heartbeat":
        this.#follower.handleHeartbeat(from, message);
        return;
      case "snapshotPart":
        this.#snapshotReceiver.receivePart(from, message);
        return;
      default:
        protocol.errors.assertNever(message);
    }
  }

  #rejectStaleLeader(from: string, sentAt: number): void {
    const { term } = this.#context;
    this.#context.sendAfterHardStateSync(from, {
      kind: "heartbeatReply",
      term,
      sentAt,
    });
  }

  #handleFollowerReply(from: string, message: FollowerReply): void {
    const context = this.#context;
    const { memberships, term, now } = context;
    const progress = this.#leaderState.progressOf(from);
    if (message.term > term && isMember(memberships.current, from)) {
      context.becomeFollower(message.term, null);
      return;
    }
    if (message.term !== term || progress === undefined) {
      return;
    }
    progress.recordReply(message.sentAt, now);
    switch (message.kind) {
      case "appendReply":
        this.#leaderState.handleAppendReply(from, message);
        return;
      case "heartbeatReply":
        return;
      case "snapshotReply":
        this.#leaderState.snapshotSender.handleReply(progress, message);
        return;
      default:
        protocol.errors.assertNever(message);
    }
  }

  #handlePersisted(sequence: number): void {
    const context = this.#context;
    for (const send of context.syncTracker.completeSyncs(sequence)) {
      context.emit(send);
    }
    this.#election.onPersisted(sequence);
  }

  /**
   * Records a new snapshot and compacts the log. The last `retainedEntries`
   * entries before the snapshot stay in memory for followers that lag slightly.
   */
  #handleSnapshotTaken(snapshot: SnapshotMetadata): void {
    const context = this.#context;
    const previous = context.snapshot?.index ?? 0;
    if (snapshot.index <= previous || snapshot.index > context.appliedIndex) {
      return;
    }
    context.snapshot = snapshot;
    const { retainedBytes, retainedEntries } = context.settings;
    const index = context.log.firstWithin(
      snapshot.index,
      retainedEntries,
      retainedBytes,
    ) - 1;
    if (index > context.log.baseIndex) {
      context.log.compact(index);
      context.memberships.compact(index);
    }
  }

  #isInLeaderLease(): boolean {
    const { role, now, lastLeaderContactAt, settings } = this.#context;
    if (role === "leader") {
      return now < this.leaseUntil;
    }
    return now - lastLeaderContactAt < settings.electionTimeoutMinimumMs;
  }

  #reportStatus(): void {
    const { role, term, leader } = this.#context;
    const status = `${role} ${term} ${leader}`;
    if (status !== this.#lastReportedStatus) {
      this.#lastReportedStatus = status;
      this.#context.emit({ kind: "status", role, term, leader });
    }
  }
}
