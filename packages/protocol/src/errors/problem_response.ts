import { Buffer } from "node:buffer";
import type * as refusals from "./refusal.ts";
import type * as types from "./types.ts";

/** Media type of problem documents (RFC 9457). */
export const PROBLEM_TYPE = "application/problem+json";
/** Header that tells which request an answer belongs to. */
export const REQUEST_ID_HEADER = "ebonypath-request-id";
/** Header that tells what may be concluded from a refusal. */
export const OUTCOME_HEADER = "ebonypath-outcome";

/** Status of a refusal that asks for other credentials. */
const UNAUTHORIZED = 401;
/** Smallest `Retry-After`, in seconds. */
const MIN_RETRY_AFTER_SECONDS = 1;

/** A refusal as an HTTP answer. */
export interface ProblemResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/** What an answer tells besides the refusal itself. */
export interface ProblemResponseOptions {
  readonly requestId?: string;
  /** Further members of the document. */
  readonly members?: Readonly<Record<string, unknown>>;
}

/**
 * Renders a refusal as the HTTP answer that every listener sends for it.
 *
 * @returns status, headers and body; `retry-after` counts whole seconds
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
        : { "retry-after": wholeSeconds(retryAfter) }),
      ...(problem.status === UNAUTHORIZED
        ? { "www-authenticate": "Bearer" }
        : {}),
    },
    body,
  };
}

/**
 * Members that callers read besides those of the problem: clients of the chat
 * protocol look for the message of a refusal under `error`.
 *
 * @example
 * ```ts
 * problemResponse(refusal, { requestId, members: callerExtensionMembers(refusal, requestId) });
 * ```
 */
export function callerExtensionMembers(
  refusal: refusals.Refusal,
  requestId?: string,
): { readonly error: types.Problem } {
  return { error: refusal.toProblem(requestId) };
}

function wholeSeconds(seconds: number): string {
  return String(Math.max(MIN_RETRY_AFTER_SECONDS, Math.ceil(seconds)));
}
