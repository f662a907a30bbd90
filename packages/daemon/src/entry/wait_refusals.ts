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
/** The same for a refusal under a workspace's rate, in seconds. */
export const RATE_RETRY_AFTER_S = 1;

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
 * Returns what a caller is told whose request is refused at once.
 *
 * @param lateMs Time by which the request would have missed its deadline.
 *
 * @example
 * ```ts
 * answerTo("slot", 3_500); // { status: 503, retryAfterSeconds: 3.5 }
 * ```
 */
export function answerTo(
  reason: "burst" | "tokens" | "slot",
  lateMs: number,
): { readonly status: number; readonly retryAfterSeconds: number | null } {
  const lateSeconds = lateMs / 1_000;
  switch (reason) {
    case "burst":
      return {
        status: protocol.errors.TOO_LARGE.status,
        retryAfterSeconds: null,
      };
    case "tokens":
      return {
        status: protocol.errors.RATE_EXCEEDED.status,
        retryAfterSeconds: Math.max(RATE_RETRY_AFTER_S, lateSeconds),
      };
    case "slot":
      return {
        status: protocol.errors.NO_CAPACITY.status,
        retryAfterSeconds: Math.max(RETRY_AFTER_S, lateSeconds),
      };
    default:
      return protocol.errors.assertNever(reason);
  }
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
