/**
 * Pre-votes, votes and the election timeout.
 *
 * @module
 */

import type { Context } from "./context.ts";
import { hasQuorum, isMember, isVoter } from "./membership.ts";
import type { Message } from "./types.ts";

type Request = Extract<Message, { kind: "preVote" | "vote" }>;
type PreVote = Extract<Message, { kind: "preVote" }>;
type Vote = Extract<Message, { kind: "vote" }>;
type PreVoteReply = Extract<Message, { kind: "preVoteReply" }>;
type VoteReply = Extract<Message, { kind: "voteReply" }>;

/** Elects a leader and answers those who ask to be one. */
export class Election {
  #context: Context;
  #isLeaderHeld: () => boolean;
  #onWon: () => void;
  #granted = new Set<string>();
  #ownVoteSequence = 0;
  /** When to ask next whether anyone leads. */
  #probeAt: number;
  /** Voters that said they do not lead; true for those that would vote. */
  #free = new Map<string, boolean>();
  /** Term in which they said so. */
  #freeTerm = 0;

  constructor(
    context: Context,
    isLeaderHeld: () => boolean,
    onWon: () => void,
  ) {
    this.#context = context;
    this.#isLeaderHeld = isLeaderHeld;
    this.#onWon = onWon;
    this.#probeAt = context.now + (hasLed(context) ? 0 : this.#probeDelay());
  }

  /** Starts an election when no leader was heard for too long. */
  tick(): void {
    const context = this.#context;
    if (context.role === "leader" || !this.#isEligible()) {
      return;
    }
    const startsAlone = this.#isAlone && context.role === "follower";
    if (startsAlone || context.now >= context.electionDeadline) {
      context.resetElectionDeadline();
      this.#startPreVote();
    } else if (!context.hasKnownLeader && context.now >= this.#probeAt) {
      this.#probe();
    }
  }

  /**
   * Asks after a start whether anyone leads. A voter that restarts has to keep
   * to a leader that it may have promised its vote, for one election timeout.
   * Where every voter says that it does not lead, nobody holds a lease: after a
   * failure of all of them the next leader need not wait for it.
   */
  #probe(): void {
    this.#probeAt = this.#context.now + this.#probeDelay();
    if (this.#context.role !== "candidate") this.#startPreVote();
  }

  #probeDelay(): number {
    const { probeMaximumMs, probeMinimumMs } = this.#context.settings;
    return this.#context.between(probeMinimumMs, probeMaximumMs);
  }

  /** Counts the own vote once it is synced. */
  persisted(sequence: number): void {
    if (
      this.#context.role === "candidate" && sequence >= this.#ownVoteSequence
    ) {
      this.#granted.add(this.#context.self);
      this.#finishVote();
    }
  }

  /** Answers whether this replica would vote for the sender. */
  preVote(from: string, message: PreVote): void {
    const context = this.#context;
    const isUpToDate = this.#isUpToDate(message);
    const granted = message.term > context.term && !this.#isLeaderHeld() &&
      isUpToDate;
    context.reply(from, {
      kind: "preVoteReply",
      term: context.term,
      requestTerm: message.term,
      granted,
      isFree: context.role !== "leader" && context.role !== "candidate",
      isUpToDate,
    });
  }

  /** Answers a request for a vote. */
  vote(from: string, message: Vote): void {
    const context = this.#context;
    const held = !message.transfer && this.#isLeaderHeld();
    if (message.term > context.term && !held) {
      context.becomeFollower(message.term, null);
    }
    const granted = message.term === context.term && !held &&
      this.#isVoteFree(from) && this.#isUpToDate(message);
    if (granted) {
      this.#grant(from);
    }
    context.reply(from, { kind: "voteReply", term: context.term, granted });
  }

  /** Counts an answer to a pre-vote. */
  preVoteReply(from: string, message: PreVoteReply): void {
    const context = this.#context;
    if (message.term > context.term) {
      this.#adoptTerm(from, message.term);
      return;
    }
    const current = context.role === "preCandidate" &&
      message.requestTerm === context.term + 1;
    if (!current) return;
    if (message.granted) {
      this.#granted.add(from);
      this.#finishPreVote();
    }
    // One that is behind could still win a term up to this one.
    if (message.isFree && message.term === context.term) {
      this.#noteFree(from, message.isUpToDate);
    }
  }

  /** What a voter has said holds for the term: it can only lead a later one. */
  #noteFree(from: string, isUpToDate: boolean): void {
    const { term } = this.#context;
    if (this.#freeTerm !== term) this.#free.clear();
    this.#freeTerm = term;
    this.#free.set(from, isUpToDate);
    if (this.#isUncontested()) this.#startVote(true);
  }

  /** Whether no voter leads, and enough of them would vote for this one. */
  #isUncontested(): boolean {
    const { memberships, role, self } = this.#context;
    if (role !== "preCandidate") return false;
    const others = [
      ...memberships.current.voters,
      ...(this.#isSettled() ? [] : memberships.previous.voters),
    ].filter(({ id }) => id !== self);
    if (!others.every(({ id }) => this.#free.has(id))) return false;
    const willing = others.filter(({ id }) => this.#free.get(id) === true);
    return hasQuorum(
      memberships.current,
      new Set([self, ...willing.map(({ id }) => id)]),
    );
  }

  /** Counts an answer to a request for a vote. */
  voteReply(from: string, message: VoteReply): void {
    const context = this.#context;
    if (message.term > context.term) {
      this.#adoptTerm(from, message.term);
      return;
    }
    const current = context.role === "candidate" &&
      message.term === context.term;
    if (current && message.granted) {
      this.#granted.add(from);
      this.#finishVote();
    }
  }

  /** Asks for votes at once, on the wish of the present leader. */
  timeoutNow(from: string, term: number): void {
    const context = this.#context;
    const follows = context.role === "follower" && context.leader === from;
    if (follows && term === context.term && this.#isEligible()) {
      this.#startVote(true);
    }
  }

  /**
   * A voter whose removal isn't known to be committed is still needed: it may
   * hold the longest log of a quorum that can't be formed without its vote.
   */
  #isEligible(): boolean {
    const { memberships, self } = this.#context;
    return isVoter(memberships.current, self) ||
      (!this.#isSettled() && isVoter(memberships.previous, self));
  }

  #isSettled(): boolean {
    const { memberships, commitIndex } = this.#context;
    return memberships.currentIndex <= commitIndex;
  }

  #adoptTerm(from: string, term: number): void {
    if (isMember(this.#context.memberships.current, from)) {
      this.#context.becomeFollower(term, null);
    }
  }

  #grant(candidate: string): void {
    const context = this.#context;
    if (context.vote === null) {
      context.setHardState(context.term, candidate);
    }
    context.becomeFollower(context.term, context.leader);
  }

  #isVoteFree(candidate: string): boolean {
    const { vote } = this.#context;
    return vote === null || vote === candidate;
  }

  #isUpToDate(request: Request): boolean {
    const { log } = this.#context;
    if (request.lastTerm !== log.lastTerm) {
      return request.lastTerm > log.lastTerm;
    }
    return request.lastIndex >= log.lastIndex;
  }

  get #isAlone(): boolean {
    const { memberships, self } = this.#context;
    return memberships.isAlwaysAlone(self);
  }

  #startPreVote(): void {
    const context = this.#context;
    context.role = "preCandidate";
    context.leader = null;
    // A probe comes before this voter itself is free of its last leader.
    const isBound = this.#isLeaderHeld() && !this.#isAlone;
    this.#granted = new Set(isBound ? [] : [context.self]);
    this.#sendToVoters({
      kind: "preVote",
      term: context.term + 1,
      lastIndex: context.log.lastIndex,
      lastTerm: context.log.lastTerm,
    });
    this.#finishPreVote();
  }

  #startVote(transfer: boolean): void {
    const context = this.#context;
    context.role = "candidate";
    context.leader = null;
    context.resetElectionDeadline();
    context.setHardState(context.term + 1, context.self);
    this.#granted = new Set();
    this.#ownVoteSequence = context.durability.lastSequence;
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
        context.reply(id, message);
      }
    }
  }

  #finishPreVote(): void {
    if (hasQuorum(this.#context.memberships.current, this.#granted)) {
      this.#startVote(false);
    }
  }

  #finishVote(): void {
    const context = this.#context;
    const won = context.role === "candidate" &&
      hasQuorum(context.memberships.current, this.#granted);
    if (won) {
      this.#onWon();
    }
  }
}

/** Whether a replica that starts has led its term: it alone appended to it. */
function hasLed({ log, self, term, vote }: Context): boolean {
  return vote === self && log.lastTerm === term;
}
