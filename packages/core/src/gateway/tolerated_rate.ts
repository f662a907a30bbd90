import type { gateway } from "@ebonypath/protocol";

/**
 * Part of the tolerance that is admitted. The rest covers what hosts admit
 * without knowing of one another: requests on the way to the leader, parts of
 * the rate while there is none, and levels that a process presumes when it
 * begins. In simulations of 3 to 195 hosts at up to twelve times the rate, 0.66 of
 * the tolerance was used where half of it was admitted.
 */
const USED_FRACTION = 0.4;
const SECOND_MS = 1_000;

/** How far the usage of a workspace may exceed its rate in any window. */
export type RateTolerance = {
  /** Length of a window, in milliseconds. */
  readonly windowMs: number;
  /** Fraction of what the rate allows in a window. */
  readonly overage: number;
  /** Further units in a window, in the unit of the rate. */
  readonly slack: number;
};

/**
 * Rate with which hosts limit a workspace: its burst is larger by part of what
 * the deployment tolerates in a window. Any window has at most the burst and
 * what the rate adds, so it keeps within the tolerance.
 *
 * @param tolerance absent if the deployment states none
 *
 * @example
 * ```ts
 * const tolerance = { windowMs: 8_000, overage: 0.1, slack: 11_000 };
 * toleratedRate(rate, tolerance); // burst 18_400 instead of 10_000
 * ```
 */
export function toleratedRate(
  rate: gateway.RateLimit,
  tolerance: RateTolerance | undefined,
): gateway.RateLimit {
  if (tolerance === undefined) return rate;
  const { overage, slack, windowMs } = tolerance;
  const allowed = rate.perSecond * windowMs / SECOND_MS + rate.burst;
  const burst = rate.burst + USED_FRACTION * (overage * allowed + slack);
  return { ...rate, burst };
}
