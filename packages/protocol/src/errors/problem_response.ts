import { Buffer } from "node:buffer";
import type * as refusals from "./refusal.ts";
import type * as types from "./types.ts";

/** Media type of problem documents (RFC 9457). */
export const PROBLEM_TYPE = "application/problem+json";
/** Response header with the ID of the request. */
export const REQUEST_ID_HEADER = "ebonypath-request-id";
/** Response header that states whether a refused request was executed. */
export const OUTCOME_HEADER = "ebonypath-outcome";

/** HTTP status that requires the `www-authenticate` header (RFC 9110). */
const UNAUTHORIZED_STATUS = 401;
/** Minimum value of `Retry-After`, in seconds. */
const MIN_RETRY_AFTER_SECONDS = 1;

/** HTTP response for a refusal. */
export interface ProblemResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/** Additional content of the response. */
export interface ProblemResponseOptions {
  readonly requestId?: string;
  /** Extension members of the problem document. */
  readonly members?: Readonly<Record<string, unknown>>;
}

/**
 * Converts a refusal to the HTTP response that all listeners send for it.
 *
 * @returns status, headers and body; `retry-after` is rounded up to seconds
 *
 * @example
 * ```ts
 * const { status, headers, body } = problemResponse(refusal, { requestId });
 * response.writeHead(status, headers).end(body);
 * ```
 */
export function problemResponse(
  refusal: refusals.Refusal,
  details: ProblemResponseOptions = {},
): ProblemResponse {
  const { requestId, members } = details;
  const problem = refusal.toProblem(requestId);
  const body = Buffer.from(JSON.stringify({ ...problem, ...members }));
  const retryAfter = refusal.retryAfterSeconds;
  return {
    status: problem.status,
    headers: {
      "content-type": PROBLEM_TYPE,
      "content-length": String(body.length),
      "cache-control": "no-store",
      [OUTCOME_HEADER]: problem.outcome,
      ...(requestId === undefined ? {} : { [REQUEST_ID_HEADER]: requestId }),
      ...(retryAfter === undefined
        ? {}
        : { "retry-after": formatRetryAfter(retryAfter) }),
      ...(problem.status === UNAUTHORIZED_STATUS
        ? { "www-authenticate": "Bearer" }
        : {}),
    },
    body,
  };
}

/**
 * Returns the extension members for responses to callers. Clients of the
 * OpenAI-compatible API read the error message from `error`.
 *
 * @example
 * ```ts
 * const members = callerExtensionMembers(refusal, requestId);
 * problemResponse(refusal, { requestId, members });
 * ```
 */
export function callerExtensionMembers(
  refusal: refusals.Refusal,
  requestId?: string,
): { readonly error: types.Problem } {
  return { error: refusal.toProblem(requestId) };
}

function formatRetryAfter(seconds: number): string {
  return String(Math.max(MIN_RETRY_AFTER_SECONDS, Math.ceil(seconds)));
}
