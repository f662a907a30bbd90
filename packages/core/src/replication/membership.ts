/**
 * Membership history and quorum computations.
 *
 * @module
 */

import * as protocol from "@ebonypath/protocol";
import type {
  Entry,
  Member,
  Membership,
  MembershipChange,
  RefusalReason,
} from "./types.ts";

/** Membership of a replica that does not belong to a group yet. */
export const EMPTY_MEMBERSHIP: Membership = Object.freeze({
  voters: [],
  learners: [],
});

type MembershipRecord = { index: number; membership: Membership };

/** Number of voters that form a quorum. */
export function quorumSize(membership: Membership): number {
  return Math.floor(membership.voters.length / 2) + 1;
}

/** Whether the id is that of a voter. */
export function isVoter(membership: Membership, id: string): boolean {
  return membership.voters.some((member) => member.id === id);
}

/** All members, voters first. */
export function allMembers(membership: Membership): Member[] {
  return [...membership.voters, ...membership.learners];
}

/** Whether the id is that of a voter or learner. */
export function isMember(membership: Membership, id: string): boolean {
  return allMembers(membership).some((member) => member.id === id);
}

/** Whether the given ids include a quorum of the voters. */
export function hasQuorum(membership: Membership, ids: Set<string>): boolean {
  const count = membership.voters.filter(({ id }) => ids.has(id)).length;
  return count >= quorumSize(membership);
}

/**
 * Largest value that a quorum of the voters has reached.
 *
 * @example
 * ```ts
 * const index = quorumValue(membership, (id) => matchIndex.get(id) ?? 0);
 * ```
 */
export function quorumValue(
  membership: Membership,
  valueOf: (id: string) => number,
): number {
  const values = membership.voters.map(({ id }) => valueOf(id));
  values.sort((left, right) => right - left);
  return values[quorumSize(membership) - 1] ?? -Infinity;
}

/**
 * Returns the membership after a change, or the reason for refusing the change.
 */
export function applyMembershipChange(
  membership: Membership,
  change: MembershipChange,
): Membership | RefusalReason {
  switch (change.kind) {
    case "addLearner":
      return addLearner(membership, change.member);
    case "promote":
      return promoteLearner(membership, change.id);
    case "remove":
      return removeMember(membership, change.id);
    default:
      protocol.errors.assertNever(change);
  }
}

function addLearner(
  membership: Membership,
  member: Member,
): Membership | RefusalReason {
  if (isMember(membership, member.id)) {
    return "alreadyMember";
  }
  return { ...membership, learners: [...membership.learners, member] };
}

function promoteLearner(
  membership: Membership,
  id: string,
): Membership | RefusalReason {
  const member = membership.learners.find((learner) => learner.id === id);
  if (member === undefined) {
    return isVoter(membership, id) ? "alreadyMember" : "unknownMember";
  }
  return {
    voters: [...membership.voters, member],
    learners: membership.learners.filter((learner) => learner.id !== id),
  };
}

function removeMember(
  membership: Membership,
  id: string,
): Membership | RefusalReason {
  if (!isMember(membership, id)) {
    return "unknownMember";
  }
  const voters = membership.voters.filter((voter) => voter.id !== id);
  if (voters.length === 0) {
    return "lastVoter";
  }
  const learners = membership.learners.filter((learner) => learner.id !== id);
  return { voters, learners };
}

/**
 * The memberships in the log, in order. The latest one is in effect, committed
 * or not.
 */
export class MembershipHistory {
  #records: MembershipRecord[];

  constructor(index: number, membership: Membership, entries: Entry[]) {
    this.#records = [{ index, membership }];
    this.append(entries);
  }

  /** The effective membership. */
  get current(): Membership {
    return this.#latest.membership;
  }

  /** Index of the entry that set the effective membership. */
  get currentIndex(): number {
    return this.#latest.index;
  }

  /** The membership before the effective one; empty if it is no longer held. */
  get previous(): Membership {
    return this.#records.at(-2)?.membership ?? EMPTY_MEMBERSHIP;
  }

  /** Whether `id` is the only voter of every membership in this history. */
  isSoleVoterInAll(id: string): boolean {
    const nonEmpty = this.#records.filter(({ membership }) =>
      membership !== EMPTY_MEMBERSHIP
    );
    return nonEmpty.length > 0 &&
      nonEmpty.every(({ membership }) =>
        membership.voters.length === 1 && membership.voters[0]?.id === id
      );
  }

  /** Records the memberships in new entries. */
  append(entries: Entry[]): void {
    for (const { index, payload } of entries) {
      if (payload.kind === "membership") {
        this.#records.push({ index, membership: payload.membership });
      }
    }
  }

  /** Removes the memberships from `index` on. */
  truncateFrom(index: number): void {
    this.#records = this.#records.filter((record) => record.index < index);
  }

  /** The membership after the entry at `index`. */
  at(index: number): Membership {
    const record = this.#records.findLast((record) => record.index <= index);
    return record?.membership ?? EMPTY_MEMBERSHIP;
  }

  /** Removes the memberships that precede the one in effect at `index`. */
  compact(index: number): void {
    const base = { index, membership: this.at(index) };
    const later = this.#records.filter((record) => record.index > index);
    this.#records = [base, ...later];
  }

  /** Replaces the whole history by one membership. */
  reset(index: number, membership: Membership): void {
    this.#records = [{ index, membership }];
  }

  get #latest(): MembershipRecord {
    return this.#records.at(-1) ?? { index: 0, membership: EMPTY_MEMBERSHIP };
  }
}
