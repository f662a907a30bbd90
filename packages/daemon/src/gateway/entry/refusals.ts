/**
 * Refusals of requests that no server took: why, when the caller should come
 * back, and what an operator is told of it.
 *
 * @module
 */
import { errors } from "@ebonypath/protocol";
import type * as expectedReturns from "./expected_returns.ts";
import type * as types from "./types.ts";

/** Retry delay in a refusal for lack of room, at least, in milliseconds. */
const MIN_ROOM_RETRY_MS = 250;
/** Retry delay in a refusal of a host that stops, in ms: others take it at once. */
const STOPPING_RETRY_MS = 100;
const SECOND_MS = 1_000;

/** Why no server has been selected for a request. */
export type Cause = {
  readonly kind:
    | "no-room"
    | "given-up"
    | "model-late"
    | "adapter-late"
    | "rate-used-up"
    | "model-loading"
    | "model-not-planned"
    | "quarantined"
    | "stopping"
    | "closed"
    | "version-gone";
  readonly reason: string | undefined;
  /** When the caller should come back, in milliseconds. */
  readonly retryAfterMs: number;
};

/** How far a request has come that is refused. */
export type RefusedProgress = {
  /** Attempts that may have run the request. */
  readonly possibleRuns: number;
  /** Why the last attempt failed. */
  readonly reason: string;
  readonly cause: Cause | undefined;
};

/**
 * Why a request is refused that no server was selected for. A caller whose model
 * is forecast to be ready later is expected to come back.
 *
 * @example
 * ```ts
 * const cause = causeOf(selection, context, returns, performance.now());
 * ```
 */
export function causeOf(
  selection: Exclude<types.Selection, { kind: "server" }>,
  context: types.RequestContext,
  returns: Pick<expectedReturns.ExpectedReturns, "schedule">,
  now: number,
): Cause {
  switch (selection.kind) {
    case "expired":
      return causeOfExpiry(selection, context, now);
    case "hopeless": {
      const { copies, model, readyMs } = selection.forecast;
      const holders = (copies?.loaded ?? 0) + (copies?.loading ?? 0);
      return {
        kind: copies?.loading === 0 ? "model-not-planned" : "model-loading",
        reason: `the model is ready in ${Math.round(readyMs)} ms`,
        retryAfterMs: returns.schedule(
          context,
          { model, readyMs, holders },
          now,
        ),
      };
    }
    case "quarantined":
      return {
        kind: "quarantined",
        reason: "servers crashed while running the request",
        retryAfterMs: selection.remainingMs,
      };
    case "stopping":
      return {
        kind: "stopping",
        reason: "this host stops",
        retryAfterMs: STOPPING_RETRY_MS,
      };
    case "closed":
      return {
        kind: "closed",
        reason: "all servers want no requests for now",
        retryAfterMs: selection.remainingMs,
      };
    case "version-gone":
      return {
        kind: "version-gone",
        reason: "no server has the software version that began the stream",
        retryAfterMs: MIN_ROOM_RETRY_MS,
      };
    default:
      return errors.assertNever(selection);
  }
}

/** Why no server has taken a request until it stopped waiting. */
function causeOfExpiry(
  { missing, roomMs = 0 }: Extract<types.Selection, { kind: "expired" }>,
  context: types.RequestContext,
  now: number,
): Cause {
  const retryAfterMs = Math.max(MIN_ROOM_RETRY_MS, roomMs);
  if (context.signal.aborted) {
    return { kind: "given-up", reason: undefined, retryAfterMs };
  }
  if (context.rateHold?.fits(now) === false) {
    const reason = "the workspace used up its rate while this waited";
    return { kind: "rate-used-up", reason, retryAfterMs };
  }
  if (missing === undefined) {
    return { kind: "no-room", reason: undefined, retryAfterMs };
  }
  return {
    kind: `${missing}-late`,
    reason: `no server had the ${missing} in time`,
    // A load may end at any moment: the rest of the caller's time is its wait.
    retryAfterMs,
  };
}

/** The refusal of a request that arrives at a host which stops. */
export function stopping(): errors.Refusal {
  return new errors.Refusal(errors.NO_CAPACITY, "this host stops", {
    retryAfterSeconds: STOPPING_RETRY_MS / SECOND_MS,
  });
}

/**
 * The refusal of a request; it states that the request has not run only if that
 * is certain.
 *
 * @example
 * ```ts
 * createRefusal(context, { possibleRuns: 0, reason: "none", cause }, now);
 * ```
 */
export function createRefusal(
  context: Pick<types.RequestContext, "deadline" | "signal">,
  { cause, possibleRuns, reason }: RefusedProgress,
  now: number,
): errors.Refusal {
  if (possibleRuns > 0) {
    const isExpired = context.signal.aborted || now >= context.deadline;
    const definition = isExpired
      ? errors.DEADLINE_EXCEEDED
      : errors.BACKEND_FAILED;
    return new errors.Refusal(definition, reason);
  }
  const retryAfterMs = cause?.retryAfterMs ?? MIN_ROOM_RETRY_MS;
  switch (cause?.kind) {
    case "quarantined":
      return new errors.Refusal(errors.QUARANTINED_UNTIL, reason, {
        retryAfterSeconds: Math.ceil(retryAfterMs / SECOND_MS),
      });
    case "version-gone":
      return new errors.Refusal(errors.STREAM_NOT_RESUMABLE, reason);
    default:
      return new errors.Refusal(
        errors.NO_CAPACITY,
        `no server took the request in time: ${reason}`,
        { retryAfterSeconds: retryAfterMs / SECOND_MS },
      );
  }
}
