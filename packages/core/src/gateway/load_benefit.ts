import type * as types from "./load_planner_types.ts";

/** Benefit of serving a late request, where one served in time counts 1. */
const LATE_BENEFIT = 0.25;
/** Lateness at which a request counts as much as one in time, in ms. */
const FULL_WEIGHT_LATENESS_MS = 8_000;
/** Expected time for which a loaded model stays, in seconds. */
const RESIDENCE_SECONDS = 4;
/** Most expected arrivals that count towards the benefit of a load. */
const MAX_EXPECTED_ARRIVALS = 8;

/**
 * Estimates the benefit of a load that completes after a given time. Waiting
 * requests that it serves in time count 1 each and late ones less; arrivals
 * that are expected while the model stays loaded are added.
 *
 * @param completeMs time until the load is complete, in milliseconds
 *
 * @example
 * ```ts
 * const perMs = loadBenefit(demand, costMs) / costMs;
 * ```
 */
export function loadBenefit(
  { arrivalsPerSecond, slacksMs }: types.AggregateDemand,
  completeMs: number,
): number {
  const waiting = slacksMs.map((slackMs) =>
    slackMs >= completeMs ? 1 : lateBenefit(-slackMs)
  );
  const expected = Math.min(
    arrivalsPerSecond * RESIDENCE_SECONDS,
    MAX_EXPECTED_ARRIVALS,
  );
  return expected + waiting.reduce((sum, benefit) => sum + benefit, 0);
}

/** The weight of a late request grows with its lateness to avoid starvation. */
function lateBenefit(lateMs: number): number {
  const lateness = Math.min(1, Math.max(0, lateMs / FULL_WEIGHT_LATENESS_MS));
  return LATE_BENEFIT + (1 - LATE_BENEFIT) * lateness;
}
