import type * as replication from "../replication/mod.ts";

/** Silence after which a voter counts as lost, in milliseconds. */
const LOST_MS = 3_000;
/**
 * Silence after which a voter whose address has a newer member is removed: its
 * last answers may still be under way. In milliseconds.
 */
const REPLACED_SILENCE_MS = 500;

/** What the next change of members depends on. */
export type MembershipInput = {
  readonly membership: replication.Membership;
  /** Control hosts that ask to be members. */
  readonly joining: readonly replication.Member[];
  /** Time since a member answered; infinite when it never has, in ms. */
  readonly silenceMs: (id: string) => number;
  /** The leader. */
  readonly self: string;
  /** Voters below which a silent one is not removed. */
  readonly minVoters: number;
};

/**
 * Decides the next change of members, one at a time.
 *
 * A host that joins votes before another one is removed, so that what is
 * committed always stands on as many disks as before. A voter is removed only
 * when another one has its address, so that its disk is gone for certain, or
 * when it is silent and enough voters are left to lose as many as the fleet has
 * to bear. One that was silent only for a while joins again.
 *
 * @example
 * ```ts
 * const change = nextChange(scene);
 * if (change !== undefined) await driver.changeMembership(change);
 * ```
 */
export function nextMembershipChange(
  scene: MembershipInput,
): replication.MembershipChange | undefined {
  return removalOfReplaced(scene) ?? removalOfLost(scene) ??
    promotion(scene) ?? addition(scene) ?? removalOfLearner(scene);
}

function removalOfReplaced(
  { joining, membership, self, silenceMs }: MembershipInput,
): replication.MembershipChange | undefined {
  const joined = new Set(joining.map(({ id }) => id));
  const replaced = membership.voters.find((voter) =>
    voter.id !== self && !joined.has(voter.id) &&
    silenceMs(voter.id) >= REPLACED_SILENCE_MS &&
    membership.voters.some((other) =>
      other.id !== voter.id && other.address === voter.address &&
      joined.has(other.id)
    )
  );
  return replaced && { kind: "remove", id: replaced.id };
}

function removalOfLost(
  { minVoters: leastVoters, membership, self, silenceMs }: MembershipInput,
): replication.MembershipChange | undefined {
  if (membership.voters.length <= leastVoters) return undefined;
  const lost = membership.voters.find(({ id }) =>
    id !== self && silenceMs(id) >= LOST_MS
  );
  return lost && { kind: "remove", id: lost.id };
}

function promotion(
  { joining, membership, silenceMs }: MembershipInput,
): replication.MembershipChange | undefined {
  const joined = new Set(joining.map(({ id }) => id));
  const learner = membership.learners.find(({ id }) =>
    joined.has(id) && silenceMs(id) < LOST_MS
  );
  return learner && { kind: "promote", id: learner.id };
}

function addition(
  { joining, membership }: MembershipInput,
): replication.MembershipChange | undefined {
  if (membership.learners.length > 0) return undefined;
  const known = new Set(membership.voters.map(({ id }) => id));
  const member = joining.find(({ id }) => !known.has(id));
  return member && { kind: "addLearner", member };
}

/** A learner that does not ask to join any more makes room for another. */
function removalOfLearner(
  { joining, membership }: MembershipInput,
): replication.MembershipChange | undefined {
  const joined = new Set(joining.map(({ id }) => id));
  const learner = membership.learners.find(({ id }) => !joined.has(id));
  return learner && { kind: "remove", id: learner.id };
}
