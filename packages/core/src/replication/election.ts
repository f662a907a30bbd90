/**
 * Pre-votes, votes and the election timeout.
 *
 * @module
 */

import type { Context } from "./context.ts";
import { hasQuorum, isMember, isVoter } from "./membership.ts";
import type { Message } from "./types.ts";

type VoteRequest = Extract<Message, { kind: "preVote" | "vote" }>;
type PreVote = Extract<Message, { kind: "preVote" }>;
type Vote = Extract<Message, { kind: "vote" }>;
type PreVoteReply = Extract<Message, { kind: "preVoteReply" }>;
type VoteReply = Extract<Message, { kind: "voteReply" }>;

/** Campaigns for leadership and answers the vote requests of other replicas. */
export class Election {
  #context: Context;
  #isInLeaderLease: () => boolean;
  #onWon: () => void;
  #grantedBy = new Set<string>();
  #ownVoteSyncSequence = 0;
  /** When to probe for a leader next. */
  #nextProbeAt: number;
  /**
   * Voters that reported that they are neither leader nor candidate, and
   * whether they would vote for this replica.
   */
  #nonLeaders = new Map<string, boolean>();
  /** Term for which the entries of `#nonLeaders` hold. */
  #nonLeadersTerm = 0;

  constructor(
    context: Context,
    isInLeaderLease: () => boolean,
    onWon: () => void,
  ) {
    this.#context = context;
    this.#isInLeaderLease = isInLeaderLease;
    this.#onWon = onWon;
    this.#nextProbeAt = context.now +
      (hasLedCurrentTerm(context) ? 0 : this.#probeDelay());
  }

  /**
   * Starts a pre-vote when the election timeout has expired, or a probe when it
   * is due.
   */
  tick(): void {
    const context = this.#context;
    if (context.role === "leader" || !this.#isEligible()) {
      return;
    }
    const startsAsSoleVoter = this.#isSoleVoter && context.role === "follower";
    if (startsAsSoleVoter || context.now >= context.electionDeadline) {
      context.resetElectionDeadline();
      this.#startPreVote();
    } else if (!context.hasSeenLeader && context.now >= this.#nextProbeAt) {
      this.#probeForLeader();
    }
  }

  /**
   * Asks the voters, after a start, whether one of them leads. A restarted
   * voter may have acknowledged a leader before, so it must respect that
   * leader's lease for one election timeout. If every voter reports that it
   * does not lead, no lease can exist, and the group need not wait for the
   * timeout after all of its members failed.
   */
  #probeForLeader(): void {
    this.#nextProbeAt = this.#context.now + this.#probeDelay();
    if (this.#context.role !== "candidate") this.#startPreVote();
  }

  #probeDelay(): number {
    const { probeMaximumMs, probeMinimumMs } = this.#context.settings;
    return this.#context.randomBetween(probeMinimumMs, probeMaximumMs);
  }

  /** Counts this replica's own vote once it is synced. */
  onPersisted(sequence: number): void {
    if (
      this.#context.role === "candidate" &&
      sequence >= this.#ownVoteSyncSequence
    ) {
      this.#grantedBy.add(this.#context.self);
      this.#becomeLeaderOnQuorum();
    }
  }

  /** Answers whether this replica would vote for the sender. */
  handlePreVote(from: string, message: PreVote): void {
    const context = this.#context;
    const isUpToDate = this.#isUpToDate(message);
    const granted = message.term > context.term && !this.#isInLeaderLease() &&
      isUpToDate;
    context.sendAfterHardStateSync(from, {
      kind: "preVoteReply",
      term: context.term,
      requestTerm: message.term,
      granted,
      isFree: context.role !== "leader" && context.role !== "candidate",
      isUpToDate,
    });
  }

  /** Answers a vote request. */
  handleVote(from: string, message: Vote): void {
    const context = this.#context;
    const isInLease = !message.transfer && this.#isInLeaderLease();
    if (message.term > context.term && !isInLease) {
      context.becomeFollower(message.term, null);
    }
    const granted = message.term === context.term && !isInLease &&
      this.#canVoteFor(from) && this.#isUpToDate(message);
    if (granted) {
      this.#grantVote(from);
    }
    context.sendAfterHardStateSync(from, {
      kind: "voteReply",
      term: context.term,
      granted,
    });
  }

  /** Processes a reply to a pre-vote request. */
  handlePreVoteReply(from: string, message: PreVoteReply): void {
    const context = this.#context;
    if (message.term > context.term) {
      this.#adoptTerm(from, message.term);
      return;
    }
    const isCurrent = context.role === "preCandidate" &&
      message.requestTerm === context.term + 1;
    if (!isCurrent) return;
    if (message.granted) {
      this.#grantedBy.add(from);
      this.#startVoteOnQuorum();
    }
    // A voter of an earlier term could still win an election for a term up to
    // the current one.
    if (message.isFree && message.term === context.term) {
      this.#recordNonLeader(from, message.isUpToDate);
    }
  }

  /**
   * Records that a voter does not lead. This holds for the whole term: the
   * voter can only become leader of a later one.
   */
  #recordNonLeader(from: string, isUpToDate: boolean): void {
    const { term } = this.#context;
    if (this.#nonLeadersTerm !== term) this.#nonLeaders.clear();
    this.#nonLeadersTerm = term;
    this.#nonLeaders.set(from, isUpToDate);
    if (this.#canSkipLeaseWait()) this.#startVote(true);
  }

  /**
   * Whether all other voters reported that they do not lead, and enough of them
   * would vote for this replica. No lease can exist then. While a membership
   * change is uncommitted, the voters before it have to report too.
   */
  #canSkipLeaseWait(): boolean {
    const { memberships, role, self } = this.#context;
    if (role !== "preCandidate") return false;
    const others = [
      ...memberships.current.voters,
      ...(this.#isMembershipCommitted() ? [] : memberships.previous.voters),
    ].filter(({ id }) => id !== self);
    if (!others.every(({ id }) => this.#nonLeaders.has(id))) return false;
    const willing = others.filter(({ id }) =>
      this.#nonLeaders.get(id) === true
    );
    return hasQuorum(
      memberships.current,
      new Set([self, ...willing.map(({ id }) => id)]),
    );
  }

  /** Processes a reply to a vote request. */
  handleVoteReply(from: string, message: VoteReply): void {
    const context = this.#context;
    if (message.term > context.term) {
      this.#adoptTerm(from, message.term);
      return;
    }
    const isCurrent = context.role === "candidate" &&
      message.term === context.term;
    if (isCurrent && message.granted) {
      this.#grantedBy.add(from);
      this.#becomeLeaderOnQuorum();
    }
  }

  /** Starts an election immediately, as requested by the current leader. */
  handleTimeoutNow(from: string, term: number): void {
    const context = this.#context;
    const isFollowingSender = context.role === "follower" &&
      context.leader === from;
    if (isFollowingSender && term === context.term && this.#isEligible()) {
      this.#startVote(true);
    }
  }

  /**
   * Whether this replica may campaign; one that can't persist its own vote and
   * entries may not. A voter whose removal is not known to be
   * committed may: it can hold the longest log of a quorum that cannot be
   * formed without its vote.
   */
  #isEligible(): boolean {
    const { hasDiskSpace, memberships, self } = this.#context;
    if (!hasDiskSpace) return false;
    return isVoter(memberships.current, self) ||
      (!this.#isMembershipCommitted() && isVoter(memberships.previous, self));
  }

  #isMembershipCommitted(): boolean {
    const { memberships, commitIndex } = this.#context;
    return memberships.currentIndex <= commitIndex;
  }

  #adoptTerm(from: string, term: number): void {
    if (isMember(this.#context.memberships.current, from)) {
      this.#context.becomeFollower(term, null);
    }
  }

  #grantVote(candidate: string): void {
    const context = this.#context;
    if (context.vote === null) {
      context.setHardState(context.term, candidate);
    }
    context.becomeFollower(context.term, context.leader);
  }

  #canVoteFor(candidate: string): boolean {
    const { vote } = this.#context;
    return vote === null || vote === candidate;
  }

  #isUpToDate(request: VoteRequest): boolean {
    const { log } = this.#context;
    if (request.lastTerm !== log.lastTerm) {
      return request.lastTerm > log.lastTerm;
    }
    return request.lastIndex >= log.lastIndex;
  }

  get #isSoleVoter(): boolean {
    const { memberships, self } = this.#context;
    return memberships.isSoleVoterInAll(self);
  }

  #startPreVote(): void {
    const context = this.#context;
    context.role = "preCandidate";
    context.leader = null;
    // During a probe this voter may still be bound to its last leader; its own
    // vote does not count then.
    const mayOweVote = this.#isInLeaderLease() && !this.#isSoleVoter;
    this.#grantedBy = new Set(mayOweVote ? [] : [context.self]);
    this.#sendToVoters({
      kind: "preVote",
      term: context.term + 1,
      lastIndex: context.log.lastIndex,
      lastTerm: context.log.lastTerm,
    });
    this.#startVoteOnQuorum();
  }

  #startVote(transfer: boolean): void {
    const context = this.#context;
    context.role = "candidate";
    context.leader = null;
    context.resetElectionDeadline();
    context.setHardState(context.term + 1, context.self);
    this.#grantedBy = new Set();
    this.#ownVoteSyncSequence = context.syncTracker.lastSequence;
    this.#sendToVoters({
      kind: "vote",
      term: context.term,
      lastIndex: context.log.lastIndex,
      lastTerm: context.log.lastTerm,
      transfer,
    });
  }

  #sendToVoters(message: Message): void {
    const context = this.#context;
    for (const { id } of context.memberships.current.voters) {
      if (id !== context.self) {
        context.sendAfterHardStateSync(id, message);
      }
    }
  }

  #startVoteOnQuorum(): void {
    if (hasQuorum(this.#context.memberships.current, this.#grantedBy)) {
      this.#startVote(false);
    }
  }

  #becomeLeaderOnQuorum(): void {
    const context = this.#context;
    const won = context.role === "candidate" &&
      hasQuorum(context.memberships.current, this.#grantedBy);
    if (won) {
      this.#onWon();
    }
  }
}

/**
 * Whether a starting replica was the leader of its current term: the last entry
 * has that term, and only its leader appends entries.
 */
function hasLedCurrentTerm({ log, self, term, vote }: Context): boolean {
  return vote === self && log.lastTerm === term;
}
