/**
 * Writes answers and refusals to callers.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type * as http from "node:http";
import { errors } from "@ebonypath/protocol";
import type * as types from "./types.ts";

const SECOND_MS = 1_000;

/**
 * Answers a request with a refusal; a stream that has begun is cut.
 *
 * @example
 * ```ts
 * refuse(response, dialect, id, new errors.Refusal(errors.NO_CAPACITY, "full"));
 * ```
 */
export function refuse(
  response: http.ServerResponse,
  dialect: types.Dialect,
  requestId: string | undefined,
  refusal: errors.Refusal,
): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const { body, headers, status } = errors.problemResponse(refusal, {
    ...(requestId === undefined ? {} : { requestId }),
  });
  const { retryAfterSeconds } = refusal;
  const retryAfterMs = retryAfterSeconds === undefined
    ? undefined
    : retryAfterSeconds * SECOND_MS;
  response.writeHead(status, {
    ...headers,
    ...dialect.refusalHeaders(requestId, retryAfterMs),
  });
  response.end(body);
}

/**
 * Passes a server's whole answer on.
 *
 * @param headers names and values in turn, without framing
 *
 * @example
 * ```ts
 * deliver(response, 200, ["content-type", "text/plain"], body);
 * ```
 */
export function deliver(
  response: http.ServerResponse,
  status: number,
  headers: readonly string[],
  body: Buffer,
): void {
  if (response.headersSent || response.destroyed) return;
  response.writeHead(status, [
    ...headers,
    ...connectionHeaders(response),
    "content-length",
    String(body.length),
  ]);
  response.end(body);
}

/**
 * Begins to pass a stream on.
 *
 * @param isFramed whether the caller can tell the end from a broken connection
 *
 * @example
 * ```ts
 * beginStream(response, 200, headers, true);
 * ```
 */
export function beginStream(
  response: http.ServerResponse,
  status: number,
  headers: readonly string[],
  isFramed: boolean,
): void {
  if (!isFramed) response.shouldKeepAlive = false;
  response.writeHead(status, [
    ...headers,
    ...connectionHeaders(response),
    ...(isFramed ? ["transfer-encoding", "chunked"] : []),
  ]);
  response.flushHeaders();
}

/** Headers given as a list get none that `node:http` would add. */
function connectionHeaders(response: http.ServerResponse): string[] {
  return response.shouldKeepAlive ? [] : ["connection", "close"];
}
