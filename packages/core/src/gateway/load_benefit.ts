import type * as types from "./load_planner_types.ts";

/** What serving a late request is worth, against one in time. */
const LATE_GAIN = 0.25;
/** Lateness at which a request counts as much as one in time, in ms. */
const LATE_LIMIT_MS = 8_000;
/** Time for which a model that was loaded is expected to stay, in seconds. */
const STAY_SECONDS = 4;
/** Most requests to come that count for a load. */
const COMING_LIMIT = 8;

/**
 * What a load that is complete after some time brings: requests that it makes
 * in time, late ones for less, and those that will come while the model stays.
 *
 * @param completeMs time until the load is complete, in milliseconds
 *
 * @example
 * ```ts
 * const perMs = gainOf(need, costMs) / costMs;
 * ```
 */
export function loadBenefit(
  { arrivalsPerSecond: perSecond, slacksMs }: types.AggregateDemand,
  completeMs: number,
): number {
  const waiting = slacksMs.map((slackMs) =>
    slackMs >= completeMs ? 1 : lateGain(-slackMs)
  );
  const coming = Math.min(perSecond * STAY_SECONDS, COMING_LIMIT);
  return coming + waiting.reduce((sum, gain) => sum + gain, 0);
}

/** A late request gains weight as it waits, so that none waits in vain. */
function lateGain(lateMs: number): number {
  const waited = Math.min(1, Math.max(0, lateMs / LATE_LIMIT_MS));
  return LATE_GAIN + (1 - LATE_GAIN) * waited;
}
