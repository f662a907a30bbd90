import type * as replication from "../replication/mod.ts";

/** Silence after which a voter counts as lost, in milliseconds. */
const LOST_MS = 3_000;
/**
 * Silence after which a voter is removed if a newer member has its address, in
 * milliseconds. Its last answers may still be in transit until then.
 */
const REPLACED_SILENCE_MS = 500;

/** State from which the next membership change is decided. */
export type MembershipInput = {
  readonly membership: replication.Membership;
  /** Control hosts that have sent a join request. */
  readonly joining: readonly replication.Member[];
  /** Time since a member's last answer in ms; infinite if there was none. */
  readonly silenceMs: (id: string) => number;
  /** Id of the leader. */
  readonly self: string;
  /** Number of voters at or below which a silent voter is not removed. */
  readonly minVoters: number;
};

/**
 * Decides the next membership change; only one is made at a time.
 *
 * A new host becomes a voter before an old one is removed, so committed entries
 * never depend on fewer disks than before. A voter is removed only if another
 * voter has its address, which means that its disk is gone, or if it is silent
 * and the remaining voters can still tolerate the required number of failures.
 * A voter that was only temporarily silent joins again.
 *
 * @example
 * ```ts
 * const change = nextMembershipChange(input);
 * if (change !== undefined) await driver.changeMembership(change);
 * ```
 */
export function nextMembershipChange(
  input: MembershipInput,
): replication.MembershipChange | undefined {
  return removeReplacedVoter(input) ?? removeLostVoter(input) ??
    promoteLearner(input) ?? addLearner(input) ?? removeLearner(input);
}

function removeReplacedVoter(
  { joining, membership, self, silenceMs }: MembershipInput,
): replication.MembershipChange | undefined {
  const joiningIds = new Set(joining.map(({ id }) => id));
  const replaced = membership.voters.find((voter) =>
    voter.id !== self && !joiningIds.has(voter.id) &&
    silenceMs(voter.id) >= REPLACED_SILENCE_MS &&
    membership.voters.some((other) =>
      other.id !== voter.id && other.address === voter.address &&
      joiningIds.has(other.id)
    )
  );
  return replaced && { kind: "remove", id: replaced.id };
}

function removeLostVoter(
  { membership, minVoters, self, silenceMs }: MembershipInput,
): replication.MembershipChange | undefined {
  if (membership.voters.length <= minVoters) return undefined;
  const lost = membership.voters.find(({ id }) =>
    id !== self && silenceMs(id) >= LOST_MS
  );
  return lost && { kind: "remove", id: lost.id };
}

function promoteLearner(
  { joining, membership, silenceMs }: MembershipInput,
): replication.MembershipChange | undefined {
  const joiningIds = new Set(joining.map(({ id }) => id));
  const learner = membership.learners.find(({ id }) =>
    joiningIds.has(id) && silenceMs(id) < LOST_MS
  );
  return learner && { kind: "promote", id: learner.id };
}

/** Adds one learner at a time. */
function addLearner(
  { joining, membership }: MembershipInput,
): replication.MembershipChange | undefined {
  if (membership.learners.length > 0) return undefined;
  const voterIds = new Set(membership.voters.map(({ id }) => id));
  const member = joining.find(({ id }) => !voterIds.has(id));
  return member && { kind: "addLearner", member };
}

/** Removes a learner that no longer asks to join, so another can be added. */
function removeLearner(
  { joining, membership }: MembershipInput,
): replication.MembershipChange | undefined {
  const joiningIds = new Set(joining.map(({ id }) => id));
  const learner = membership.learners.find(({ id }) => !joiningIds.has(id));
  return learner && { kind: "remove", id: learner.id };
}
