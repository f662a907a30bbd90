/**
 * What follows a try of a request that got no answer.
 *
 * @module
 */
import * as timers from "node:timers/promises";
import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import type * as attempts from "./attempt.ts";
import type * as types from "./types.ts";

/** Pause of a retry that exceeds the budget, in milliseconds. */
const BUDGET_PAUSE_MS = 50;

/** A try of a request that got no answer. */
export interface FailedAttempt {
  readonly work: types.Work;
  readonly result: FailedResult;
  /** An earlier try may have run. */
  readonly mayHaveRun: boolean;
  /** Tries so far that reached a server, this one included. */
  readonly sent: number;
  /** Server that was tried. */
  readonly server: string;
}

/** How such a try ended. */
export type FailedResult = Exclude<
  attempts.AttemptResult,
  { kind: "answered" }
>;

/**
 * Whether a try reached a server that did not refuse it.
 *
 * @example
 * ```ts
 * if (wasSent(result)) sent += 1;
 * ```
 */
export function reachedServer(result: FailedResult): boolean {
  return result.kind === "failed" && result.bytesSent;
}

/**
 * Waits until the failed request may be tried again; resolves with whether
 * it may have run. Retries beyond the budget are slowed down, not refused:
 * a failure domain that is lost takes many requests with it at once.
 *
 * @throws {protocol.errors.Refusal} the request must not be sent again
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
      describeFailure(failed),
      budget,
      performance.now(),
    );
    switch (decision.kind) {
      case "retry":
        return decision.mayHaveRun;
      case "refuse":
        if (decision.reason === "budget") break;
        throw refuseRetry(failed, decision.outcome, decision.reason);
      case "stream-error":
        throw refuseRetry(failed, decision.outcome, "stream");
      default:
        return protocol.errors.assertNever(decision);
    }
    await timers.setTimeout(BUDGET_PAUSE_MS);
  }
}

/**
 * Once a try may have run, no later refusal may say that nothing ran.
 *
 * @example
 * ```ts
 * throw mayHaveRun ? withoutCertainty(error) : error;
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

function describeFailure(failed: FailedAttempt): core.routing.FailedAttempt {
  const { mayHaveRun, result, sent, work } = failed;
  const isRefusal = result.kind === "refused";
  const bytesSent = isRefusal || result.bytesSent;
  return {
    isIdempotent: work.idempotent,
    bytesSent,
    refusedBeforeStart: isRefusal,
    bytesToCaller: !isRefusal && result.bytesToCaller,
    mayHaveRunBefore: mayHaveRun,
    // Tries that did not start at a server are bounded by the deadline alone.
    attempt: Math.max(1, sent),
    deadline: work.deadline,
    // The same server is tried again, after a pause, where it stands alone.
    hasAlternative: isRefusal || result.fault !== "cancelled",
  };
}

function refuseRetry(
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
  isInTime: boolean,
): protocol.errors.Definition {
  if (mayHaveRun) {
    return isInTime
      ? protocol.errors.BACKEND_FAILED
      : protocol.errors.DEADLINE_EXCEEDED;
  }
  return isInTime
    ? protocol.errors.NO_CAPACITY
    : protocol.errors.NOT_STARTED_IN_TIME;
}
