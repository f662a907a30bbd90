import type * as http from "node:http";

/** Echoed by the server, so that an answer can be told from another's. */
export const REQUEST_ID_HEADER = "x-request-id";
/** Priority of the request; higher numbers go first. */
export const PRIORITY_HEADER = "x-ebonypath-priority";
/** Says that the server refused before it started. */
export const NOT_STARTED_HEADER = "x-ebonypath-not-started";

/** Headers of a caller that go on to a backend server. */
const REQUEST_HEADERS = [
  "accept",
  "accept-language",
  "baggage",
  "content-type",
  "traceparent",
  "tracestate",
];

/** Headers of a backend server that go back to the caller. */
const ANSWER_HEADERS = [
  "cache-control",
  "content-disposition",
  "content-encoding",
  "content-language",
  "content-length",
  "content-type",
  "etag",
  "last-modified",
  "retry-after",
];

/** Headers by lower-case name. */
export type Headers = Record<string, string>;

/**
 * Keeps the headers of a caller that a backend server may see. Keys, cookies
 * and everything unknown stay behind.
 *
 * @example
 * ```ts
 * requestHeaders({ authorization: "Bearer k", accept: "text/html" });
 * // { accept: "text/html" }
 * ```
 */
export function requestHeaders(headers: http.IncomingHttpHeaders): Headers {
  return pick(headers, REQUEST_HEADERS);
}

/**
 * Keeps the headers of an answer that the caller may see.
 *
 * @example
 * ```ts
 * answerHeaders({ server: "engine", "content-type": "text/html" });
 * // { "content-type": "text/html" }
 * ```
 */
export function answerHeaders(headers: http.IncomingHttpHeaders): Headers {
  return pick(headers, ANSWER_HEADERS);
}

function pick(
  headers: http.IncomingHttpHeaders,
  names: readonly string[],
): Headers {
  const picked: Headers = {};
  for (const name of names) {
    const value = headers[name];
    if (typeof value === "string") picked[name] = value;
  }
  return picked;
}
