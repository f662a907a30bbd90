/**
 * Max-min fair division of an amount between claims.
 *
 * @module
 */

import { ROUNDING_TOKENS } from "./types.ts";

/** One claimant's wishes, each level including the ones before it. */
export type Demand = {
  /** Needed by the request that has waited longest. */
  readonly head: number;
  /** How long that request has waited, in milliseconds. */
  readonly headAgeMs: number;
  /** Wanted for all present use. */
  readonly want: number;
  /** Wanted as a stock for future use. */
  readonly stock: number;
};

/**
 * Divides `total` by max-min fairness: no claimant gets more than its wish, and
 * what one gets cannot grow without taking from another that has no more.
 *
 * @example
 * ```ts
 * divideMaxMin(10, [2, 8, 9]); // [2, 4, 4]
 * ```
 */
export function divideMaxMin(
  total: number,
  wishes: readonly number[],
): number[] {
  const result = wishes.map(() => 0);
  const order = wishes.map((_, index) => index)
    .sort((a, b) => wishes[a]! - wishes[b]!);
  let remaining = Math.max(0, total);
  order.forEach((index, position) => {
    const equalPart = remaining / (order.length - position);
    const given = Math.max(0, Math.min(wishes[index]!, equalPart));
    result[index] = given;
    remaining -= given;
  });
  return result;
}

/**
 * Divides `total` in three rounds: the requests that wait longest are served
 * first and in order of age, so that a large one is not starved by small ones;
 * then present use by max-min fairness; then stocks by max-min fairness.
 *
 * @example
 * ```ts
 * divide(10, [
 *   { head: 8, headAgeMs: 50, want: 8, stock: 8 },
 *   { head: 4, headAgeMs: 10, want: 6, stock: 6 },
 * ]); // [8, 2]
 * ```
 */
export function divide(total: number, claims: readonly Demand[]): number[] {
  const result = claims.map(() => 0);
  let remaining = Math.max(0, total);
  for (const index of byHeadAge(claims)) {
    const given = Math.min(remaining, claims[index]!.head);
    result[index] = given;
    remaining -= given;
  }
  for (const wish of ["want", "stock"] as const) {
    const lacking = claims.map((claim, index) =>
      Math.max(0, claim[wish] - result[index]!)
    );
    divideMaxMin(remaining, lacking).forEach((given, index) => {
      result[index]! += given;
      remaining -= given;
    });
  }
  return result;
}

/** Which of the longest waiting requests an amount is enough for. */
export type HeadAllocation = {
  /** The part of each claimant: its head, or nothing. */
  readonly parts: readonly number[];
  /** Whether every head gets its part. */
  readonly areServed: boolean;
};

/**
 * Serves heads whole in order of age, up to the first that does not fit. What
 * is left then is kept for that one, so that younger ones cannot starve it.
 *
 * @example
 * ```ts
 * allocateHeads(10, [
 *   { head: 4, headAgeMs: 50 },
 *   { head: 8, headAgeMs: 20 },
 *   { head: 2, headAgeMs: 10 },
 * ]); // { parts: [4, 0, 0], areServed: false }
 * ```
 */
export function allocateHeads(
  total: number,
  claims: ReadonlyArray<Pick<Demand, "head" | "headAgeMs">>,
): HeadAllocation {
  const parts = claims.map(() => 0);
  let remaining = total;
  for (const index of byHeadAge(claims)) {
    const { head } = claims[index]!;
    if (head > remaining + ROUNDING_TOKENS) return { parts, areServed: false };
    parts[index] = head;
    remaining -= head;
  }
  return { parts, areServed: true };
}

/** One claimant's wishes for whole units. */
export type UnitDemand = {
  /** Wanted for all present use. */
  readonly want: number;
  /** Wanted once loads under way are complete, `want` included. */
  readonly expected: number;
  /** Wanted as a stock for future use, all of the above included. */
  readonly stock: number;
  /** How long the oldest request has waited, in milliseconds. */
  readonly ageMs: number;
};

/**
 * Divides whole units by max-min fairness, first for present use, then for
 * requests that a load will let begin, then for stocks. Units that do not
 * divide evenly go to those that have waited longest.
 *
 * @example
 * ```ts
 * divideUnits(3, [
 *   { want: 2, expected: 2, stock: 2, ageMs: 0 },
 *   { want: 2, expected: 2, stock: 2, ageMs: 20 },
 * ]); // [1, 2]
 * ```
 */
export function divideUnits(
  total: number,
  claims: readonly UnitDemand[],
): number[] {
  const result = claims.map(() => 0);
  const byAge = claims.map((_, index) => index)
    .sort((a, b) => claims[b]!.ageMs - claims[a]!.ageMs);
  let remaining = Math.max(0, Math.floor(total));
  for (const wish of ["want", "expected", "stock"] as const) {
    const lacking = claims.map((claim, index) =>
      Math.max(0, claim[wish] - result[index]!)
    );
    const parts = divideMaxMin(remaining, lacking).map(Math.floor);
    parts.forEach((given, index) => {
      result[index]! += given;
      remaining -= given;
    });
    for (const index of byAge) {
      if (remaining > 0 && result[index]! < claims[index]![wish]) {
        result[index]!++;
        remaining--;
      }
    }
  }
  return result;
}

/** Claimants with a waiting request, the longest waiting first. */
function byHeadAge(
  claims: ReadonlyArray<Pick<Demand, "head" | "headAgeMs">>,
): number[] {
  return claims.map((_, index) => index)
    .filter((index) => claims[index]!.head > 0)
    .sort((a, b) => claims[b]!.headAgeMs - claims[a]!.headAgeMs);
}
