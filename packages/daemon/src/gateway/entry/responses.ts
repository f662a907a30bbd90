/**
 * Writes responses and refusals to callers.
 *
 * @module
 */
import type * as http from "node:http";
import { errors } from "@ebonypath/protocol";
import type * as responseBuffer from "./response_buffer.ts";
import type * as types from "./types.ts";

const SECOND_MS = 1_000;

/**
 * Responds with a refusal. If a response has already started, closes the
 * connection instead, so that the caller sees an incomplete response.
 *
 * @example
 * ```ts
 * const refusal = new errors.Refusal(errors.NO_CAPACITY, "all slots are busy");
 * sendRefusal(response, dialect, requestId, refusal);
 * ```
 */
export function sendRefusal(
  response: http.ServerResponse,
  dialect: Pick<types.Dialect, "refusalHeaders">,
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
 * Sends a server's complete response. Its body is released when the caller has
 * received it or has disconnected.
 *
 * @param headers alternating names and values, without those that frame the
 * body
 *
 * @example
 * ```ts
 * sendResponse(response, 200, ["content-type", "text/plain"], body);
 * ```
 */
export function sendResponse(
  response: http.ServerResponse,
  status: number,
  headers: readonly string[],
  body: responseBuffer.ResponseBuffer,
): void {
  if (response.headersSent || response.destroyed) {
    body[Symbol.dispose]();
    return;
  }
  body.setOverflowHandler(() => response.destroy());
  response.on("close", () => body[Symbol.dispose]());
  response.writeHead(status, [
    ...headers,
    ...connectionHeaders(response),
    "content-length",
    String(body.length),
  ]);
  const { parts } = body;
  for (const part of parts.slice(0, -1)) response.write(part);
  response.end(parts.at(-1));
}

/**
 * Sends the head of a streamed response.
 *
 * @param headers alternating names and values, without those that frame the
 * body
 * @param isSelfDelimited whether the body marks its end itself, so that the
 * caller can tell it from a lost connection
 *
 * @example
 * ```ts
 * startStream(response, 200, headers, true);
 * ```
 */
export function startStream(
  response: http.ServerResponse,
  status: number,
  headers: readonly string[],
  isSelfDelimited: boolean,
): void {
  if (!isSelfDelimited) response.shouldKeepAlive = false;
  response.writeHead(status, [
    ...headers,
    ...connectionHeaders(response),
    ...(isSelfDelimited ? ["transfer-encoding", "chunked"] : []),
  ]);
  response.flushHeaders();
}

/** `node:http` does not add this header itself when headers are a list. */
function connectionHeaders(response: http.ServerResponse): string[] {
  return response.shouldKeepAlive ? [] : ["connection", "close"];
}
