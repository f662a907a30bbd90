/**
 * Refusals returned to callers; operators can receive some of them, too.
 *
 * @module
 */
import type * as types from "./types.ts";

/** The request is malformed. */
export const INVALID_REQUEST = {
  name: "invalid-request",
  title: "The request is not valid",
  status: 400,
  outcome: "not-run",
  hint: "Correct the request as the detail says and send it again.",
} as const satisfies types.ProblemDefinition;

/** The API key is missing, unknown or revoked. */
export const KEY_REFUSED = {
  name: "key-refused",
  title: "The key is unknown or withdrawn",
  status: 401,
  outcome: "not-run",
  hint: "Send a key of the workspace as `Authorization: Bearer KEY`.",
} as const satisfies types.ProblemDefinition;

/** The workspace has no such model, service, route or stored response. */
export const NOT_FOUND = {
  name: "not-found",
  title: "There is no such model, route or answer",
  status: 404,
  outcome: "not-run",
  hint: "List the models with `GET /v1/models`.",
} as const satisfies types.ProblemDefinition;

/** The caller did not send its request within the timeout. */
export const REQUEST_TIMEOUT = {
  name: "request-timeout",
  title: "The request was not received in time",
  status: 408,
  outcome: "not-run",
  hint: "Send the whole request without pauses.",
} as const satisfies types.ProblemDefinition;

/** The idempotency key was already used with a different request. */
export const IDEMPOTENCY_CONFLICT = {
  name: "idempotency-conflict",
  title: "The idempotency key belongs to another request",
  status: 409,
  outcome: "not-run",
  hint: "Use a new idempotency key for each distinct request.",
} as const satisfies types.ProblemDefinition;

/** The outcome of the first attempt with this idempotency key is unknown. */
export const OUTCOME_UNKNOWN = {
  name: "outcome-unknown",
  title: "The outcome of the first try is not known",
  status: 409,
  outcome: "may-have-run",
  hint: "Check the effect by other means before sending a new request.",
} as const satisfies types.ProblemDefinition;

/** The first attempt with this idempotency key is still running. */
export const STILL_RUNNING = {
  name: "still-running",
  title: "The first try under this idempotency key is still running",
  status: 409,
  outcome: "may-have-run",
  hint: "Send the same request again later to get its answer.",
} as const satisfies types.ProblemDefinition;

/** The request ran, but its response is too large to be stored for replay. */
export const ANSWER_NOT_KEPT = {
  name: "answer-not-kept",
  title: "The request ran, but its answer was not kept",
  status: 409,
  outcome: "ran",
  hint: "Check the effect by other means; do not send the request again.",
} as const satisfies types.ProblemDefinition;

/** The caller cancelled the request. */
export const CANCELLED = {
  name: "cancelled",
  title: "The request was cancelled",
  status: 409,
  outcome: "not-run",
  hint: "Send a new request if it is wanted after all.",
} as const satisfies types.ProblemDefinition;

/** The body or the headers exceed a size limit. */
export const TOO_LARGE = {
  name: "too-large",
  title: "The request is too large",
  status: 413,
  outcome: "not-run",
  hint: "Send a smaller request.",
} as const satisfies types.ProblemDefinition;

/** Several backend servers crashed while the request was in flight. */
export const QUARANTINED = {
  name: "quarantined",
  title: "The request is quarantined",
  status: 422,
  outcome: "not-run",
  hint:
    "Backend servers crashed while running it. Change it, or ask an operator to release it.",
} as const satisfies types.ProblemDefinition;

/** The same, where callers are told when to send it again. */
export const QUARANTINED_UNTIL = {
  name: "quarantined-until",
  title: "The request is quarantined for a time",
  status: 503,
  outcome: "not-run",
  hint:
    "Backend servers crashed while running it. Change it, or send it again after the time in `Retry-After`.",
} as const satisfies types.ProblemDefinition;

/** No server may continue the interrupted stream. */
export const STREAM_NOT_RESUMABLE = {
  name: "stream-not-resumable",
  title: "The stream can't go on",
  status: 503,
  outcome: "not-run",
  hint: "Start a new stream, without the id of the last event.",
} as const satisfies types.ProblemDefinition;

/** The request exceeds the rate limit of the workspace. */
export const RATE_EXCEEDED = {
  name: "rate-exceeded",
  title: "The workspace's rate is used up",
  status: 429,
  outcome: "not-run",
  hint: "Send it again after the time in `Retry-After`.",
} as const satisfies types.ProblemDefinition;

/** An unexpected error in the host. */
export const INTERNAL = {
  name: "internal",
  title: "The host met an unexpected fault",
  status: 500,
  outcome: "may-have-run",
  hint: "Report the request id to an operator.",
} as const satisfies types.ProblemDefinition;

/** The backend server failed and may already have started the request. */
export const BACKEND_FAILED = {
  name: "backend-failed",
  title: "The backend server failed while it had the request",
  status: 502,
  outcome: "may-have-run",
  hint: "Check the effect before sending the request again.",
} as const satisfies types.ProblemDefinition;

/** No capacity became available within the wait time of the tier. */
export const NO_CAPACITY = {
  name: "no-capacity",
  title: "There is no capacity in the time of this tier",
  status: 503,
  outcome: "not-run",
  hint: "Send it again later, or use a tier with a longer wait.",
} as const satisfies types.ProblemDefinition;

/** The host lost contact with the leader, so its state may be stale. */
export const NOT_CURRENT = {
  name: "not-current",
  title: "The host has no current state",
  status: 503,
  outcome: "not-run",
  hint: "Send it again; the balancer will choose another host.",
} as const satisfies types.ProblemDefinition;

/** The deadline of the tier expired after the request was dispatched. */
export const DEADLINE_EXCEEDED = {
  name: "deadline-exceeded",
  title: "The answer did not come within the time of the tier",
  status: 504,
  outcome: "may-have-run",
  hint: "Use a tier with a longer wait.",
} as const satisfies types.ProblemDefinition;

/** The deadline expired before the request reached a backend server. */
export const NOT_STARTED_IN_TIME = {
  name: "not-started-in-time",
  title: "The request could not be started within the time of the tier",
  status: 504,
  outcome: "not-run",
  hint: "Send it again later, or use a tier with a longer wait.",
} as const satisfies types.ProblemDefinition;
