/**
 * Retry decisions after an attempt that got no answer.
 *
 * @module
 */
import * as timers from "node:timers/promises";
import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import type * as attempts from "./attempt.ts";
import type * as types from "./types.ts";

/** Delay between checks of an exhausted retry budget, in milliseconds. */
const BUDGET_RETRY_INTERVAL_MS = 50;

/** An attempt that got no answer. */
export interface FailedAttempt {
  readonly work: types.Work;
  readonly result: FailedResult;
  /** Whether an earlier attempt may have run. */
  readonly mayHaveRun: boolean;
  /** Attempts so far that reached a server, including this one. */
  readonly sent: number;
  /** Id of the attempted server. */
  readonly server: string;
}

/** Result of an attempt that got no answer. */
export type FailedResult = Exclude<
  attempts.AttemptResult,
  { kind: "answered" }
>;

/**
 * Whether an attempt reached a server that did not refuse it.
 *
 * @example
 * ```ts
 * if (reachedServer(result)) sent += 1;
 * ```
 */
export function reachedServer(result: FailedResult): boolean {
  return result.kind === "failed" && result.bytesSent;
}

/**
 * Waits until the failed request may be retried, and returns whether it may
 * have run. Retries beyond the budget are delayed rather than refused, since
 * the loss of a failure domain makes many requests fail at once.
 *
 * @throws {protocol.errors.Refusal} the request must not be retried
 *
 * @example
 * ```ts
 * const mayHaveRun = await awaitRetry(failed, budget);
 * ```
 */
export async function awaitRetry(
  failed: FailedAttempt,
  budget: core.routing.RetryBudget,
): Promise<boolean> {
  while (true) {
    const decision = core.routing.decideRetry(
      toRetryInput(failed),
      budget,
      performance.now(),
    );
    switch (decision.kind) {
      case "retry":
        return decision.mayHaveRun;
      case "refuse":
        if (decision.reason === "budget") break;
        throw retryRefusal(failed, decision.outcome, decision.reason);
      case "stream-error":
        throw retryRefusal(failed, decision.outcome, "stream");
      default:
        return protocol.errors.assertNever(decision);
    }
    await timers.setTimeout(BUDGET_RETRY_INTERVAL_MS);
  }
}

/**
 * Changes the outcome of a refusal from `not-run` to `may-have-run`, for
 * requests of which an earlier attempt may have run.
 *
 * @example
 * ```ts
 * throw mayHaveRun ? withUncertainOutcome(error) : error;
 * ```
 */
export function withUncertainOutcome(error: unknown): unknown {
  if (!(error instanceof protocol.errors.Refusal)) return error;
  if (error.outcome !== "not-run") return error;
  return new protocol.errors.Refusal(error.definition, error.message, {
    outcome: "may-have-run",
    step: error.step ?? "dispatch",
    cause: error,
  });
}

function toRetryInput(failed: FailedAttempt): core.routing.FailedAttempt {
  const { mayHaveRun, result, sent, work } = failed;
  const isRefusal = result.kind === "refused";
  const bytesSent = isRefusal || result.bytesSent;
  return {
    isIdempotent: work.idempotent,
    bytesSent,
    refusedBeforeStart: isRefusal,
    bytesToCaller: !isRefusal && result.bytesToCaller,
    mayHaveRunBefore: mayHaveRun,
    // Only the deadline limits attempts that did not start at a server.
    attempt: Math.max(1, sent),
    deadline: work.deadline,
    // The same server counts as an alternative: it is retried after a backoff
    // if no other one can run the request.
    hasAlternative: isRefusal || result.fault !== "cancelled",
  };
}

function retryRefusal(
  failed: FailedAttempt,
  outcome: protocol.errors.Outcome,
  reason: core.routing.NoRetryReason | "stream",
): protocol.errors.Refusal {
  const { result } = failed;
  const detail = result.kind === "failed"
    ? result.detail
    : `refused: ${result.code}`;
  return new protocol.errors.Refusal(
    definitionOf(outcome === "may-have-run", reason !== "deadline"),
    detail,
    { outcome, step: "dispatch", peer: failed.server },
  );
}

function definitionOf(
  mayHaveRun: boolean,
  isBeforeDeadline: boolean,
): protocol.errors.ProblemDefinition {
  if (mayHaveRun) {
    return isBeforeDeadline
      ? protocol.errors.BACKEND_FAILED
      : protocol.errors.DEADLINE_EXCEEDED;
  }
  return isBeforeDeadline
    ? protocol.errors.NO_CAPACITY
    : protocol.errors.NOT_STARTED_IN_TIME;
}
