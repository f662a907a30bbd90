/** What a control host tells of the log of the replicated state. */
export type LogPosition = {
  /** Id of the control host. */
  readonly member: string;
  /** Ids of the voters, in the membership that it uses. */
  readonly voters: readonly string[];
  /**
   * Index of the newest entry in its log that may change what entry hosts act
   * on, committed or not.
   */
  readonly newestIndex: number;
};

/** What the logs of control hosts tell of a state that a host has. */
export type StateVerdict =
  /** No later state was acknowledged before the positions were asked for. */
  | "current"
  /** A later state may have been acknowledged. */
  | "behind"
  /** Too few of the voters have answered. */
  | "unknown";

/**
 * Judges whether a state is current, without a leader. What was acknowledged is
 * in the logs of a majority of the voters, which shares a voter with each other
 * majority.
 *
 * Positions may name different memberships while one is being changed. Changes
 * are made one voter at a time, so that the majorities of two successive
 * memberships share a voter, and one that has the later membership names it. A
 * majority of each membership that is named therefore is enough.
 *
 * @param stateIndex log index of the last change in the state
 *
 * @example
 * ```ts
 * const voters = ["c1", "c2", "c3"];
 * judgeState(7, [
 *   { member: "c1", voters, newestIndex: 7 },
 *   { member: "c2", voters, newestIndex: 5 },
 * ]); // "current"
 * ```
 */
export function judgeState(
  stateIndex: number,
  positions: readonly LogPosition[],
): StateVerdict {
  const memberships = positions.map(({ voters }) => voters)
    .filter((voters) => voters.length > 0);
  if (memberships.length === 0) return "unknown";
  const answered = new Set(positions.map(({ member }) => member));
  const confirming = new Set(
    positions.filter(({ newestIndex }) => newestIndex <= stateIndex)
      .map(({ member }) => member),
  );
  const hasMajorities = (members: ReadonlySet<string>) =>
    memberships.every((voters) => hasMajority(voters, members));
  if (hasMajorities(confirming)) return "current";
  return hasMajorities(answered) ? "behind" : "unknown";
}

function hasMajority(
  voters: readonly string[],
  members: ReadonlySet<string>,
): boolean {
  const count = voters.filter((voter) => members.has(voter)).length;
  return 2 * count > voters.length;
}
