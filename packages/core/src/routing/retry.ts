/**
 * What follows a failed attempt: a retry elsewhere, a refusal whose outcome is
 * true, or an error event in a stream that has begun.
 *
 * @module
 */

import type { RetryBudget } from "./retry_budget.ts";

/** Most attempts for one request, the first one included. */
export const MAX_ATTEMPTS = 3;

/** Shortest time to the deadline in which a retry is worth while. */
export const MIN_TIME_FOR_RETRY_MS = 20;

/** A failed attempt and the request it belongs to. */
export type FailedAttempt = {
  /** The request may be run more than once. */
  readonly isIdempotent: boolean;
  /** Any byte of this attempt may have reached the server. */
  readonly bytesSent: boolean;
  /** The server itself said that it has not started. */
  readonly refusedBeforeStart: boolean;
  /** Any byte of the answer has gone to the caller. */
  readonly bytesToCaller: boolean;
  /** An earlier attempt for the same request may have run. */
  readonly mayHaveRunBefore: boolean;
  /** Number of this attempt; the first one is 1. */
  readonly attempt: number;
  readonly deadline: number;
  /** Another server could run the request. */
  readonly hasAlternative: boolean;
};

/** Whether a refused request has run, as far as the host can tell. */
export type RefusalOutcome = "not-run" | "may-have-run";

/** Why there is no retry. */
export type NoRetryReason =
  /** The request may not be repeated. */
  | "not-repeatable"
  | "attempts"
  | "deadline"
  /** No other server can run it. */
  | "no-alternative"
  | "budget";

/** What follows a failed attempt. */
export type RetryDecision =
  /** Send it to another server; `mayHaveRun` holds for the next decision. */
  | { readonly kind: "retry"; readonly mayHaveRun: boolean }
  | {
    readonly kind: "refuse";
    readonly outcome: RefusalOutcome;
    readonly reason: NoRetryReason;
  }
  /** End the caller's stream with an error event. */
  | { readonly kind: "stream-error"; readonly outcome: "may-have-run" };

/**
 * Decides what follows a failed attempt. Takes a retry out of the budget only
 * if the decision is to retry and the attempt may have reached a server.
 *
 * A request that is not idempotent is sent again only if no byte of it has left
 * this host: it is then sent once at most, whatever a server says.
 *
 * @example
 * ```ts
 * const decision = decideRetry(failed, budget, clock.now());
 * ```
 */
export function decideRetry(
  failed: FailedAttempt,
  budget: RetryBudget,
  now: number,
): RetryDecision {
  if (failed.bytesToCaller) {
    return { kind: "stream-error", outcome: "may-have-run" };
  }
  const mayHaveRun = failed.mayHaveRunBefore ||
    (failed.bytesSent && !failed.refusedBeforeStart);
  const reason = obstacle(failed, now) ??
    (isFree(failed) || budget.tryWithdraw(now) ? undefined : "budget");
  if (reason === undefined) {
    return { kind: "retry", mayHaveRun };
  }
  const outcome = mayHaveRun ? "may-have-run" : "not-run";
  return { kind: "refuse", outcome, reason };
}

/**
 * A request of which nothing went out loads no server a second time. Were such
 * retries held to the budget, a server's death would delay all that waited for
 * it.
 */
function isFree(failed: FailedAttempt): boolean {
  return !failed.bytesSent;
}

function obstacle(
  failed: FailedAttempt,
  now: number,
): NoRetryReason | undefined {
  if (failed.bytesSent && !failed.isIdempotent) {
    return "not-repeatable";
  }
  if (failed.attempt >= MAX_ATTEMPTS) {
    return "attempts";
  }
  if (now + MIN_TIME_FOR_RETRY_MS > failed.deadline) {
    return "deadline";
  }
  return failed.hasAlternative ? undefined : "no-alternative";
}
