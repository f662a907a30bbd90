/**
 * Refusals of requests that were not started in time; none of them has run.
 *
 * @module
 */
import type * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import type * as types from "./types.ts";

/** Smallest retry delay that a refusal suggests to its caller, in seconds. */
const RETRY_AFTER_S = 2;

/**
 * Returns the refusal of a request that got no slot in time.
 *
 * @param isCurrent Whether the host's state is confirmed by a leader.
 *
 * @example
 * ```ts
 * throw placementRefusal(work, true);
 * ```
 */
export function placementRefusal(
  work: types.Work,
  isCurrent: boolean,
): protocol.errors.Refusal {
  if (!isCurrent) return noLeaderRefusal("place", RETRY_AFTER_S);
  return new protocol.errors.Refusal(
    protocol.errors.NO_CAPACITY,
    `no server had room for ${work.target} in ${work.tier.maxWaitMs} ms`,
    { step: "place", retryAfterSeconds: RETRY_AFTER_S },
  );
}

/**
 * Returns the refusal of a request that timed out at a host without a leader.
 *
 * @example
 * ```ts
 * throw noLeaderRefusal("reserve", 1);
 * ```
 */
export function noLeaderRefusal(
  step: string,
  retryAfterSeconds: number,
): protocol.errors.Refusal {
  return new protocol.errors.Refusal(
    protocol.errors.NOT_CURRENT,
    "the host heard no leader in the time of the tier",
    { step, retryAfterSeconds },
  );
}

/**
 * Returns the refusal of a request that the queue rejected.
 *
 * @param lateMs Time by which the request would have missed its deadline.
 *
 * @example
 * ```ts
 * throw queueRefusal(work, "too-late", 1_500);
 * ```
 */
export function queueRefusal(
  work: types.Work,
  kind: Exclude<core.queue.AddResult["kind"], "queued">,
  lateMs: number,
): protocol.errors.Refusal {
  return new protocol.errors.Refusal(
    protocol.errors.NO_CAPACITY,
    `the queue took no request for ${work.target}: ${kind}`,
    {
      step: "place",
      retryAfterSeconds: Math.max(RETRY_AFTER_S, lateMs / 1_000),
    },
  );
}
