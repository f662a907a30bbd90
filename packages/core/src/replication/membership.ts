/**
 * Memberships in the order of the log, and quorums over them.
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

/** The membership of a replica that belongs to no group yet. */
export const EMPTY_MEMBERSHIP: Membership = Object.freeze({
  voters: [],
  learners: [],
});

type MembershipRecord = { index: number; membership: Membership };

/** Number of voters that decide. */
export function quorumSize(membership: Membership): number {
  return Math.floor(membership.voters.length / 2) + 1;
}

/** Whether an id belongs to a voter. */
export function isVoter(membership: Membership, id: string): boolean {
  return membership.voters.some((member) => member.id === id);
}

/** All members, voters first. */
export function allMembers(membership: Membership): Member[] {
  return [...membership.voters, ...membership.learners];
}

/** Whether an id belongs to a member. */
export function isMember(membership: Membership, id: string): boolean {
  return allMembers(membership).some((member) => member.id === id);
}

/** Whether the given ids hold a quorum of the voters. */
export function hasQuorum(membership: Membership, ids: Set<string>): boolean {
  const count = membership.voters.filter(({ id }) => ids.has(id)).length;
  return count >= quorumSize(membership);
}

/**
 * The largest value that a quorum of voters has reached.
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

/** Makes the membership that a change leads to, or says why it can't be. */
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

/** The memberships that the log holds. The latest one is in effect. */
export class MembershipHistory {
  #records: MembershipRecord[];

  constructor(index: number, membership: Membership, entries: Entry[]) {
    this.#records = [{ index, membership }];
    this.append(entries);
  }

  /** The membership in effect. */
  get current(): Membership {
    return this.#latest.membership;
  }

  /** Index of the entry that brought the membership in effect. */
  get currentIndex(): number {
    return this.#latest.index;
  }

  /** The membership before the one in effect, as far as it's held here. */
  get previous(): Membership {
    return this.#records.at(-2)?.membership ?? EMPTY_MEMBERSHIP;
  }

  /** Whether every membership held here has just this one voter. */
  isSoleVoterInAll(id: string): boolean {
    const nonEmpty = this.#records.filter(({ membership }) =>
      membership !== EMPTY_MEMBERSHIP
    );
    return nonEmpty.length > 0 &&
      nonEmpty.every(({ membership }) =>
        membership.voters.length === 1 && membership.voters[0]?.id === id
      );
  }

  /** Takes up the memberships among new entries. */
  append(entries: Entry[]): void {
    for (const { index, payload } of entries) {
      if (payload.kind === "membership") {
        this.#records.push({ index, membership: payload.membership });
      }
    }
  }

  /** Forgets the memberships from `index` on. */
  truncateFrom(index: number): void {
    this.#records = this.#records.filter((record) => record.index < index);
  }

  /** The membership after the entry at `index`. */
  at(index: number): Membership {
    const record = this.#records.findLast((record) => record.index <= index);
    return record?.membership ?? EMPTY_MEMBERSHIP;
  }

  /** Forgets the memberships before the one after `index`. */
  compact(index: number): void {
    const base = { index, membership: this.at(index) };
    const later = this.#records.filter((record) => record.index > index);
    this.#records = [base, ...later];
  }

  /** Replaces all by one membership. */
  reset(index: number, membership: Membership): void {
    this.#records = [{ index, membership }];
  }

  get #latest(): MembershipRecord {
    return this.#records.at(-1) ?? { index: 0, membership: EMPTY_MEMBERSHIP };
  }
}
