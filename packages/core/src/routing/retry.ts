/**
 * Retry decision after a failed attempt: retry on another server, refuse the
 * request with an accurate outcome, or end a started stream with an error
 * event.
 *
 * @module
 */

import type { RetryBudget } from "./retry_budget.ts";

/** Maximum number of attempts per request, including the first one. */
export const MAX_ATTEMPTS = 3;

/** Minimum time to the deadline for a retry, in milliseconds. */
export const MIN_TIME_FOR_RETRY_MS = 20;

/** A failed attempt and its request. */
export type FailedAttempt = {
  /** Whether the request may run more than once. */
  readonly isIdempotent: boolean;
  /** Whether any byte of this attempt may have reached the server. */
  readonly bytesSent: boolean;
  /** Whether the server reported that it had not started the request. */
  readonly refusedBeforeStart: boolean;
  /** Whether any byte of the response was sent to the caller. */
  readonly bytesToCaller: boolean;
  /** Whether an earlier attempt for the same request may have run. */
  readonly mayHaveRunBefore: boolean;
  /** Number of this attempt, starting at 1. */
  readonly attempt: number;
  readonly deadline: number;
  /** Whether another server could run the request. */
  readonly hasAlternative: boolean;
};

/** Whether a refused request may have run, as far as the host knows. */
export type RefusalOutcome = "not-run" | "may-have-run";

/** Why a request is not retried. */
export type NoRetryReason =
  /** The request is not idempotent and may have reached a server. */
  | "not-repeatable"
  | "attempts"
  | "deadline"
  /** No other server can run the request. */
  | "no-alternative"
  | "budget";

/** Action after a failed attempt. */
export type RetryDecision =
  /** Retry on another server; `mayHaveRun` is input to the next decision. */
  | { readonly kind: "retry"; readonly mayHaveRun: boolean }
  | {
    readonly kind: "refuse";
    readonly outcome: RefusalOutcome;
    readonly reason: NoRetryReason;
  }
  /** End the stream to the caller with an error event. */
  | { readonly kind: "stream-error"; readonly outcome: "may-have-run" };

/**
 * Decides whether to retry after a failed attempt. Withdraws from the budget
 * only if the decision is to retry and the attempt may have reached a server.
 *
 * A request that is not idempotent is retried only if no byte of it has left
 * this host, even if a server reports that it has not started the request. It
 * is thus sent at most once.
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
  const reason = noRetryReason(failed, now) ??
    (isExemptFromBudget(failed) || budget.tryWithdraw(now)
      ? undefined
      : "budget");
  if (reason === undefined) {
    return { kind: "retry", mayHaveRun };
  }
  const outcome = mayHaveRun ? "may-have-run" : "not-run";
  return { kind: "refuse", outcome, reason };
}

/**
 * Exempts attempts of which nothing was sent: they put no additional load on
 * servers. If they counted against the budget, a server crash would delay all
 * requests that were waiting for that server.
 */
function isExemptFromBudget(failed: FailedAttempt): boolean {
  return !failed.bytesSent;
}

function noRetryReason(
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
