/**
 * What a leader does: it appends, replicates, commits and holds a lease.
 *
 * @module
 */

import type { Context } from "./context.ts";
import { payloadSize } from "./log.ts";
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
type Transfer = { to: string; deadline: number; sent: boolean };

/** The leader's side of one term. */
export class Leadership {
  readonly snapshots: SnapshotSender;
  #context: Context;
  #progress = new Map<string, Progress>();
  #electedAt = -Infinity;
  #heartbeatDue = 0;
  #transfer: Transfer | null = null;
  #uncommittedBytes = 0;

  constructor(context: Context) {
    this.#context = context;
    this.snapshots = new SnapshotSender(context);
  }

  /** Whether a transfer of leadership is under way. */
  get transferring(): boolean {
    return this.#isLeader && this.#transfer !== null;
  }

  /** Whether a part of a snapshot is on the way to some replica. */
  get sendingSnapshot(): boolean {
    const all = [...this.#progress.values()];
    return this.#isLeader && all.some(({ feed }) => feed.kind === "snapshot");
  }

  /** Whether an entry of the present term is committed. */
  get hasCommittedInTerm(): boolean {
    const { log, commitIndex, term } = this.#context;
    return log.termAt(commitIndex) === term;
  }

  /** Until when no other replica can be elected; -Infinity when unknown. */
  get leaseUntil(): number {
    if (!this.#isLeader || this.#transfer?.sent === true) {
      return -Infinity;
    }
    const { electionTimeoutMinimumMs, leaseMargin } = this.#context.settings;
    const duration = electionTimeoutMinimumMs * (1 - leaseMargin);
    return this.#quorumSentAt() + duration;
  }

  /** What is known of a replica. */
  progressOf(id: string): Progress | undefined {
    return this.#isLeader ? this.#progress.get(id) : undefined;
  }

  /** Takes up leadership of the present term. */
  start(): void {
    const context = this.#context;
    context.role = "leader";
    context.leader = context.self;
    context.hasKnownLeader = true;
    this.#electedAt = context.now;
    this.#transfer = null;
    this.#progress.clear();
    this.#uncommittedBytes = 0;
    this.#addProgress(context.memberships.current);
    this.append([{ kind: "noop" }]);
    this.#heartbeat();
  }

  /** Sends heartbeats and gives up when no quorum answers. */
  tick(): void {
    if (!this.#isLeader) {
      return;
    }
    this.#checkTransfer();
    this.#checkQuorum();
    if (this.#isLeader && this.#context.now >= this.#heartbeatDue) {
      this.#heartbeat();
    }
  }

  /** Why nothing can be appended now; null when it can. */
  refusal(count: number, bytes: number): RefusalReason | null {
    const { log, commitIndex, settings } = this.#context;
    if (!this.#isLeader) {
      return "notLeader";
    }
    if (this.#transfer !== null) {
      return "transferring";
    }
    const waiting = log.lastIndex - commitIndex;
    const full = waiting + count > settings.maxUncommittedEntries ||
      this.#uncommittedBytes + bytes > settings.maxUncommittedBytes;
    return full ? "overloaded" : null;
  }

  /** Appends commands and answers each of them. */
  propose(proposals: Proposal[]): void {
    const { maxProposalCharacters } = this.#context.settings;
    const fitting: Proposal[] = [];
    for (const proposal of proposals) {
      if (proposal.data.length <= maxProposalCharacters) {
        fitting.push(proposal);
      } else {
        this.refuse(proposal.id, "tooLarge");
      }
    }
    this.#proposeFitting(fitting);
  }

  /** Answers that nothing was appended. */
  refuse(id: number, reason: RefusalReason): void {
    const { leader } = this.#context;
    const outcome = { kind: "refused", id, reason, leader } as const;
    this.#context.emit({ kind: "outcome", outcome });
  }

  /** Appends entries of the present term and sends them on. */
  append(payloads: Payload[]): void {
    const context = this.#context;
    const first = context.log.lastIndex + 1;
    const entries: Entry[] = payloads.map((payload, position) => ({
      index: first + position,
      term: context.term,
      payload,
    }));
    this.#uncommittedBytes += totalSize(payloads);
    context.appendEntries(entries);
    this.#addProgress(context.memberships.current);
    this.#replicateAll();
  }

  /** Takes the answer to an append. */
  appendReply(from: string, message: AppendReply): void {
    const context = this.#context;
    const progress = this.progressOf(from);
    if (progress === undefined) {
      return;
    }
    progress.answered(message.sentAt, context.now);
    const { previousIndex, matchIndex } = message;
    if (!message.success) {
      if (progress.rejected(previousIndex, matchIndex)) {
        this.#sendAppend(progress, true);
      }
      return;
    }
    progress.matched(previousIndex, matchIndex);
    this.advanceCommit();
    if (this.#isLeader) {
      this.#replicate(progress);
      this.#checkTransfer();
    }
  }

  /** Commits what a quorum holds, when it's of the present term. */
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
    context.commitTo(index);
    const size = totalSize(committed.map(({ payload }) => payload));
    this.#uncommittedBytes = Math.max(0, this.#uncommittedBytes - size);
    this.#dropRemoved();
  }

  /** Hands leadership to a voter once that one holds the whole log. */
  transferTo(to: string): void {
    const context = this.#context;
    const possible = this.#isLeader && this.#transfer === null &&
      to !== context.self && isVoter(context.memberships.current, to);
    if (!possible) {
      return;
    }
    const { electionTimeoutMaximumMs } = context.settings;
    const deadline = context.now + electionTimeoutMaximumMs;
    this.#transfer = { to, deadline, sent: false };
    this.#checkTransfer();
  }

  #proposeFitting(proposals: Proposal[]): void {
    const { log, term } = this.#context;
    const payloads = proposals.map(({ data }) =>
      ({ kind: "command", data }) as const
    );
    const reason = this.refusal(proposals.length, totalSize(payloads));
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
      return this.#context.durability.durableIndex;
    }
    return this.#progress.get(id)?.matchIndex ?? 0;
  }

  #quorumSentAt(): number {
    const { self, now, memberships } = this.#context;
    return quorumValue(memberships.current, (id) => {
      if (id === self) {
        return now;
      }
      return this.#progress.get(id)?.answeredSentAt ?? -Infinity;
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

  #dropRemoved(): void {
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
    const heardAt = Math.max(this.#quorumSentAt(), this.#electedAt);
    if (now - heardAt > settings.electionTimeoutMaximumMs) {
      this.#stepDown();
    }
  }

  #checkTransfer(): void {
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
    const ready = progress?.matchIndex === context.log.lastIndex;
    if (ready && !transfer.sent) {
      transfer.sent = true;
      context.send(transfer.to, { kind: "timeoutNow", term: context.term });
    }
  }

  /** A replica told to take over may win at any time, so the lease is gone. */
  #endTransfer(transfer: Transfer): void {
    this.#transfer = null;
    if (transfer.sent) {
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
      progress.hasRoom(settings.maxInflightAppends) &&
      progress.nextIndex <= log.lastIndex
    ) {
      this.#sendAppend(progress, false);
    }
  }

  #sendAppend(progress: Progress, evenIfEmpty: boolean): void {
    const { log, settings, now, term, commitIndex } = this.#context;
    const previousIndex = progress.nextIndex - 1;
    const previousTerm = log.termAt(previousIndex);
    if (progress.feed.kind === "snapshot" || previousTerm === undefined) {
      this.snapshots.heartbeat(progress);
      return;
    }
    const entries = progress.hasRoom(settings.maxInflightAppends)
      ? log.batch(
        progress.nextIndex,
        settings.maxAppendEntries,
        settings.maxAppendBytes,
      )
      : [];
    if (entries.length === 0 && !evenIfEmpty) {
      return;
    }
    const last = entries.at(-1);
    if (last !== undefined) {
      progress.sent(last.index);
    }
    this.#context.reply(progress.id, {
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

function totalSize(payloads: Payload[]): number {
  return payloads.reduce((sum, payload) => sum + payloadSize(payload), 0);
}
