/**
 * Leader role: appends, replicates and commits entries and holds the lease.
 *
 * @module
 */

import type { Context } from "./context.ts";
import { payloadSizeBytes } from "./log.ts";
import { allMembers, isVoter, quorumValue } from "./membership.ts";
import { Progress } from "./progress.ts";
import { SnapshotSender } from "./snapshot_sender.ts";
import type {
  Entry,
  Membership,
  Message,
  Payload,
  Proposal,
  RefusalReason,
} from "./types.ts";

type AppendReply = Extract<Message, { kind: "appendReply" }>;
type LeadershipTransfer = {
  to: string;
  deadline: number;
  timeoutNowSent: boolean;
};

/** Heartbeats for which a leader with a full disk waits for its successor. */
const HAND_OVER_HEARTBEATS = 3;

/** Replicates and commits entries while this replica is leader. */
export class LeaderState {
  readonly snapshotSender: SnapshotSender;
  #context: Context;
  #progress = new Map<string, Progress>();
  #electedAt = -Infinity;
  #heartbeatDue = 0;
  #transfer: LeadershipTransfer | null = null;
  #uncommittedBytes = 0;

  constructor(context: Context) {
    this.#context = context;
    this.snapshotSender = new SnapshotSender(context);
  }

  /** Whether a leadership transfer is in progress. */
  get isTransferringLeadership(): boolean {
    return this.#isLeader && this.#transfer !== null;
  }

  /** Whether a snapshot is being sent to a replica. */
  get isSendingSnapshot(): boolean {
    const all = [...this.#progress.values()];
    return this.#isLeader && all.some(({ mode }) => mode.kind === "snapshot");
  }

  /** Whether an entry of the current term is committed. */
  get hasCommittedInTerm(): boolean {
    const { log, commitIndex, term } = this.#context;
    return log.termAt(commitIndex) === term;
  }

  /**
   * Clock value until which no other replica can be elected; -Infinity if this
   * replica does not lead, lacks replies from a quorum, or told another replica
   * to take over.
   */
  get leaseUntil(): number {
    if (!this.#isLeader || this.#transfer?.timeoutNowSent === true) {
      return -Infinity;
    }
    const { electionTimeoutMinimumMs, leaseMargin } = this.#context.settings;
    const duration = electionTimeoutMinimumMs * (1 - leaseMargin);
    return this.#quorumAckedSentAt() + duration;
  }

  /**
   * Replication progress of a replica; undefined if unknown or if this replica
   * does not lead.
   */
  progressOf(id: string): Progress | undefined {
    return this.#isLeader ? this.#progress.get(id) : undefined;
  }

  /** Becomes leader of the current term. */
  start(): void {
    const context = this.#context;
    context.role = "leader";
    context.leader = context.self;
    context.hasSeenLeader = true;
    this.#electedAt = context.now;
    this.#transfer = null;
    this.#progress.clear();
    this.#uncommittedBytes = 0;
    this.#addProgress(context.memberships.current);
    this.append([{ kind: "noop" }]);
    this.#heartbeat();
  }

  /** Sends heartbeats, and steps down if a quorum no longer answers. */
  tick(): void {
    if (!this.#isLeader) {
      return;
    }
    this.#advanceTransfer();
    this.handOverIfDiskFull();
    this.#checkQuorum();
    if (this.#isLeader && this.#context.now >= this.#heartbeatDue) {
      this.#heartbeat();
    }
  }

  /** Why entries can't be appended now; null if they can. */
  appendRefusal(count: number, bytes: number): RefusalReason | null {
    const { log, commitIndex, settings } = this.#context;
    if (!this.#isLeader) {
      return "notLeader";
    }
    if (this.#transfer !== null) {
      return "transferring";
    }
    const uncommitted = log.lastIndex - commitIndex;
    const isFull = uncommitted + count > settings.maxUncommittedEntries ||
      this.#uncommittedBytes + bytes > settings.maxUncommittedBytes;
    return isFull ? "overloaded" : null;
  }

  /** Appends commands and emits an outcome for each of them. */
  propose(proposals: Proposal[]): void {
    const { maxProposalCharacters } = this.#context.settings;
    const accepted: Proposal[] = [];
    for (const proposal of proposals) {
      if (proposal.data.length <= maxProposalCharacters) {
        accepted.push(proposal);
      } else {
        this.refuse(proposal.id, "tooLarge");
      }
    }
    this.#appendProposals(accepted);
  }

  /** Emits the outcome that a proposal was refused. */
  refuse(id: number, reason: RefusalReason): void {
    const { leader } = this.#context;
    const outcome = { kind: "refused", id, reason, leader } as const;
    this.#context.emit({ kind: "outcome", outcome });
  }

  /** Appends entries of the current term and replicates them. */
  append(payloads: Payload[]): void {
    const context = this.#context;
    const first = context.log.lastIndex + 1;
    const entries: Entry[] = payloads.map((payload, position) => ({
      index: first + position,
      term: context.term,
      payload,
    }));
    this.#uncommittedBytes += totalSizeBytes(payloads);
    context.appendEntries(entries);
    this.#addProgress(context.memberships.current);
    this.#replicateAll();
  }

  /** Processes a reply to an append message. */
  handleAppendReply(from: string, message: AppendReply): void {
    const context = this.#context;
    const progress = this.progressOf(from);
    if (progress === undefined) {
      return;
    }
    progress.recordReply(message.sentAt, context.now);
    const { previousIndex, matchIndex } = message;
    if (!message.success) {
      if (progress.recordRejection(previousIndex, matchIndex)) {
        this.#sendAppend(progress, true);
      }
      return;
    }
    progress.recordMatch(previousIndex, matchIndex);
    this.advanceCommit();
    if (this.#isLeader) {
      this.#replicate(progress);
      this.#advanceTransfer();
      this.handOverIfDiskFull();
    }
  }

  /**
   * Commits the entries that a quorum has synced, once the last of them is of
   * the current term.
   */
  advanceCommit(): void {
    const context = this.#context;
    if (!this.#isLeader) {
      return;
    }
    const index = quorumValue(
      context.memberships.current,
      (id) => this.#matchIndexOf(id),
    );
    const isOwnTerm = context.log.termAt(index) === context.term;
    if (index <= context.commitIndex || !isOwnTerm) {
      return;
    }
    const committed = context.log.slice(context.commitIndex + 1, index);
    context.advanceCommitIndex(index);
    const sizeBytes = totalSizeBytes(committed.map(({ payload }) => payload));
    this.#uncommittedBytes = Math.max(0, this.#uncommittedBytes - sizeBytes);
    this.#removeFormerMembers();
  }

  /** Transfers leadership to a voter once that voter holds the whole log. */
  transferTo(to: string): void {
    const context = this.#context;
    const canTransfer = this.#isLeader && this.#transfer === null &&
      to !== context.self && isVoter(context.memberships.current, to);
    if (!canTransfer) {
      return;
    }
    const { electionTimeoutMaximumMs } = context.settings;
    const deadline = context.now + electionTimeoutMaximumMs;
    this.#transfer = { to, deadline, timeoutNowSent: false };
    this.#advanceTransfer();
  }

  /**
   * Transfers leadership when the disk of this replica is full, since it applies
   * and acknowledges nothing until it has space. Steps down if the other voters
   * have to find the next leader themselves.
   */
  handOverIfDiskFull(): void {
    const { hasDiskSpace, memberships, now, self, settings } = this.#context;
    const hasOtherVoters = memberships.current.voters.some(({ id }) =>
      id !== self
    );
    if (!this.#isLeader || hasDiskSpace || !hasOtherVoters) {
      return;
    }
    const deadline = now + settings.heartbeatMs * HAND_OVER_HEARTBEATS;
    const to = this.#chooseSuccessor();
    if (to === null) {
      this.#stepDown();
      return;
    }
    this.#transfer ??= { to, deadline, timeoutNowSent: false };
    this.#transfer.deadline = Math.min(this.#transfer.deadline, deadline);
    if (!this.#transfer.timeoutNowSent) {
      this.#transfer.to = to;
    }
    this.#advanceTransfer();
  }

  /**
   * Returns the voter that has the most entries; among equal ones, the one that
   * has answered last. Null when none has answered.
   */
  #chooseSuccessor(): string | null {
    const { memberships, self } = this.#context;
    const candidates = memberships.current.voters
      .map(({ id }) => this.#progress.get(id))
      .filter((progress) => progress !== undefined)
      .filter(({ ackedSentAt, id }) => id !== self && ackedSentAt > -Infinity);
    candidates.sort((left, right) =>
      right.matchIndex - left.matchIndex ||
      right.ackedSentAt - left.ackedSentAt
    );
    return candidates[0]?.id ?? null;
  }

  #appendProposals(proposals: Proposal[]): void {
    const { log, term } = this.#context;
    const payloads = proposals.map(({ data }) =>
      ({ kind: "command", data }) as const
    );
    const reason = this.appendRefusal(
      proposals.length,
      totalSizeBytes(payloads),
    );
    if (reason !== null) {
      proposals.forEach(({ id }) => this.refuse(id, reason));
      return;
    }
    const first = log.lastIndex + 1;
    proposals.forEach(({ id }, position) => {
      const index = first + position;
      const outcome = { kind: "appended", id, index, term } as const;
      this.#context.emit({ kind: "outcome", outcome });
    });
    this.append(payloads);
  }

  get #isLeader(): boolean {
    return this.#context.role === "leader";
  }

  #matchIndexOf(id: string): number {
    if (id === this.#context.self) {
      return this.#context.syncTracker.durableIndex;
    }
    return this.#progress.get(id)?.matchIndex ?? 0;
  }

  #quorumAckedSentAt(): number {
    const { self, now, memberships } = this.#context;
    return quorumValue(memberships.current, (id) => {
      if (id === self) {
        return now;
      }
      return this.#progress.get(id)?.ackedSentAt ?? -Infinity;
    });
  }

  #addProgress(membership: Membership): void {
    const { self, log } = this.#context;
    for (const { id } of allMembers(membership)) {
      if (id !== self && !this.#progress.has(id)) {
        this.#progress.set(id, new Progress(id, log.lastIndex + 1));
      }
    }
  }

  #removeFormerMembers(): void {
    const { memberships, commitIndex, self } = this.#context;
    if (memberships.currentIndex > commitIndex) {
      return;
    }
    const members = new Set(
      allMembers(memberships.current).map(({ id }) => id),
    );
    for (const progress of [...this.#progress.values()]) {
      if (!members.has(progress.id)) {
        this.#sendAppend(progress, true);
        this.#progress.delete(progress.id);
      }
    }
    if (!isVoter(memberships.current, self)) {
      this.#heartbeat();
      this.#stepDown();
    }
  }

  #checkQuorum(): void {
    const { now, settings } = this.#context;
    const quorumContactAt = Math.max(
      this.#quorumAckedSentAt(),
      this.#electedAt,
    );
    if (now - quorumContactAt > settings.electionTimeoutMaximumMs) {
      this.#stepDown();
    }
  }

  #advanceTransfer(): void {
    const context = this.#context;
    const transfer = this.#transfer;
    if (transfer === null) {
      return;
    }
    if (context.now >= transfer.deadline) {
      this.#endTransfer(transfer);
      return;
    }
    const progress = this.#progress.get(transfer.to);
    const hasFullLog = progress?.matchIndex === context.log.lastIndex;
    if (hasFullLog && !transfer.timeoutNowSent) {
      transfer.timeoutNowSent = true;
      context.send(transfer.to, { kind: "timeoutNow", term: context.term });
    }
  }

  /**
   * Ends a transfer that timed out. If the target was already told to campaign,
   * it may win at any later time, so this replica gives up its lease by
   * stepping down. It also does so when its disk is full.
   */
  #endTransfer(transfer: LeadershipTransfer): void {
    this.#transfer = null;
    if (transfer.timeoutNowSent || !this.#context.hasDiskSpace) {
      this.#stepDown();
    }
  }

  #stepDown(): void {
    this.#context.becomeFollower(this.#context.term, null);
  }

  #heartbeat(): void {
    const context = this.#context;
    this.#heartbeatDue = context.now + context.settings.heartbeatMs;
    for (const progress of this.#progress.values()) {
      this.#sendAppend(progress, true);
    }
  }

  #replicateAll(): void {
    for (const progress of this.#progress.values()) {
      this.#replicate(progress);
    }
  }

  #replicate(progress: Progress): void {
    const { log, settings } = this.#context;
    while (
      progress.canSend(settings.maxInflightAppends) &&
      progress.nextIndex <= log.lastIndex
    ) {
      this.#sendAppend(progress, false);
    }
  }

  #sendAppend(progress: Progress, allowEmpty: boolean): void {
    const { log, settings, now, term, commitIndex } = this.#context;
    const previousIndex = progress.nextIndex - 1;
    const previousTerm = log.termAt(previousIndex);
    if (progress.mode.kind === "snapshot" || previousTerm === undefined) {
      this.snapshotSender.sendHeartbeat(progress);
      return;
    }
    const entries = progress.canSend(settings.maxInflightAppends)
      ? log.batch(
        progress.nextIndex,
        settings.maxAppendEntries,
        settings.maxAppendBytes,
      )
      : [];
    if (entries.length === 0 && !allowEmpty) {
      return;
    }
    const last = entries.at(-1);
    if (last !== undefined) {
      progress.recordSent(last.index);
    }
    this.#context.sendAfterHardStateSync(progress.id, {
      kind: "append",
      term,
      previousIndex,
      previousTerm,
      entries,
      commitIndex,
      sentAt: now,
    });
  }
}

function totalSizeBytes(payloads: Payload[]): number {
  return payloads.reduce((sum, payload) => sum + payloadSizeBytes(payload), 0);
}
