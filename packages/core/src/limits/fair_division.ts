/**
 * Max-min fair division of an amount among demands.
 *
 * @module
 */

import { ROUNDING_TOKENS } from "./types.ts";

/**
 * The demand of one participant. `buffered` includes `needed`, which includes
 * `head`.
 */
export type Demand = {
  /** Needed by the request that has waited longest. */
  readonly head: number;
  /** How long that request has waited, in milliseconds. */
  readonly headAgeMs: number;
  /** Needed for current use. */
  readonly needed: number;
  /** Needed for current use plus a buffer for future use. */
  readonly buffered: number;
};

/**
 * Divides `total` by max-min fairness: no participant gets more than it
 * demands, and no part can grow without shrinking another part that is not
 * larger.
 *
 * @example
 * ```ts
 * divideMaxMin(10, [2, 8, 9]); // [2, 4, 4]
 * ```
 */
export function divideMaxMin(
  total: number,
  demands: readonly number[],
): number[] {
  const result = demands.map(() => 0);
  const order = demands.map((_, index) => index)
    .sort((a, b) => demands[a]! - demands[b]!);
  let remaining = Math.max(0, total);
  order.forEach((index, position) => {
    const equalShare = remaining / (order.length - position);
    const granted = Math.max(0, Math.min(demands[index]!, equalShare));
    result[index] = granted;
    remaining -= granted;
  });
  return result;
}

/**
 * Divides `total` in three rounds. First, the longest-waiting requests are
 * served in order of age, so that small requests don't starve a large one. Then
 * current use and finally buffers are served by max-min fairness.
 *
 * @example
 * ```ts
 * divide(10, [
 *   { head: 8, headAgeMs: 50, needed: 8, buffered: 8 },
 *   { head: 4, headAgeMs: 10, needed: 6, buffered: 6 },
 * ]); // [8, 2]
 * ```
 */
export function divide(total: number, demands: readonly Demand[]): number[] {
  const result = demands.map(() => 0);
  let remaining = Math.max(0, total);
  for (const index of byHeadAge(demands)) {
    const granted = Math.min(remaining, demands[index]!.head);
    result[index] = granted;
    remaining -= granted;
  }
  for (const level of ["needed", "buffered"] as const) {
    const lacking = demands.map((demand, index) =>
      Math.max(0, demand[level] - result[index]!)
    );
    divideMaxMin(remaining, lacking).forEach((granted, index) => {
      result[index]! += granted;
      remaining -= granted;
    });
  }
  return result;
}

/** Which of the longest-waiting requests an amount is sufficient for. */
export type HeadAllocation = {
  /** Part of each participant: its whole head, or zero. */
  readonly parts: readonly number[];
  /** Whether every head is served. */
  readonly areAllServed: boolean;
};

/**
 * Serves whole heads in order of age, up to the first that doesn't fit. The
 * remainder is kept for that one, so that younger requests don't starve it.
 *
 * @example
 * ```ts
 * allocateHeads(10, [
 *   { head: 4, headAgeMs: 50 },
 *   { head: 8, headAgeMs: 20 },
 *   { head: 2, headAgeMs: 10 },
 * ]); // { parts: [4, 0, 0], areAllServed: false }
 * ```
 */
export function allocateHeads(
  total: number,
  demands: ReadonlyArray<Pick<Demand, "head" | "headAgeMs">>,
): HeadAllocation {
  const parts = demands.map(() => 0);
  let remaining = total;
  for (const index of byHeadAge(demands)) {
    const { head } = demands[index]!;
    if (head > remaining + ROUNDING_TOKENS) {
      return { parts, areAllServed: false };
    }
    parts[index] = head;
    remaining -= head;
  }
  return { parts, areAllServed: true };
}

/**
 * The demand of one participant for whole units. Each value includes the
 * previous one.
 */
export type UnitDemand = {
  /** Needed for current use. */
  readonly needed: number;
  /** Needed once loads in progress are complete. */
  readonly expected: number;
  /** Needed including a buffer for future use. */
  readonly buffered: number;
  /** How long the oldest request has waited, in milliseconds. */
  readonly ageMs: number;
};

/** What a participant has, and what it is to have. */
export type UnitTarget = {
  readonly held: number;
  readonly target: number;
  /** How long the oldest request has waited, in milliseconds. */
  readonly ageMs: number;
};

/**
 * Divides whole units by max-min fairness: first for current use, then for
 * requests that wait for a load to complete, then for buffers. Units that don't
 * divide evenly go to the longest-waiting participants.
 *
 * @example
 * ```ts
 * divideUnits(3, [
 *   { needed: 2, expected: 2, buffered: 2, ageMs: 0 },
 *   { needed: 2, expected: 2, buffered: 2, ageMs: 20 },
 * ]); // [1, 2]
 * ```
 */
export function divideUnits(
  total: number,
  demands: readonly UnitDemand[],
): number[] {
  const result = demands.map(() => 0);
  const byAge = demands.map((_, index) => index)
    .sort((a, b) => demands[b]!.ageMs - demands[a]!.ageMs);
  let remaining = Math.max(0, Math.floor(total));
  for (const level of ["needed", "expected", "buffered"] as const) {
    const lacking = demands.map((demand, index) =>
      Math.max(0, demand[level] - result[index]!)
    );
    const parts = divideMaxMin(remaining, lacking).map(Math.floor);
    parts.forEach((granted, index) => {
      result[index]! += granted;
      remaining -= granted;
    });
    for (const index of byAge) {
      if (remaining > 0 && result[index]! < demands[index]![level]) {
        result[index]!++;
        remaining--;
      }
    }
  }
  return result;
}

/**
 * Divides units that are free, one after the other: each goes to the participant
 * that has the fewest, up to its target, and of several to the one that has
 * waited longest.
 *
 * @example
 * ```ts
 * divideFreeUnits(1, [
 *   { held: 1, target: 2, ageMs: 50 },
 *   { held: 0, target: 1, ageMs: 10 },
 * ]); // [0, 1]
 * ```
 */
export function divideFreeUnits(
  free: number,
  participants: readonly UnitTarget[],
): number[] {
  const parts = participants.map(() => 0);
  const held = (index: number) => participants[index]!.held + parts[index]!;
  for (let unit = 1; unit <= free; unit += 1) {
    const [next] = participants.map((_, index) => index)
      .filter((index) => held(index) < participants[index]!.target)
      .sort((a, b) =>
        held(a) - held(b) || participants[b]!.ageMs - participants[a]!.ageMs
      );
    if (next === undefined) break;
    parts[next]! += 1;
  }
  return parts;
}

/** Returns the participants with a waiting request, longest-waiting first. */
function byHeadAge(
  demands: ReadonlyArray<Pick<Demand, "head" | "headAgeMs">>,
): number[] {
  return demands.map((_, index) => index)
    .filter((index) => demands[index]!.head > 0)
    .sort((a, b) => demands[b]!.headAgeMs - demands[a]!.headAgeMs);
}
