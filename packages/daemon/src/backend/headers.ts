import type * as http from "node:http";

/** Request id, which the server echoes so that responses can be matched. */
export const REQUEST_ID_HEADER = "x-request-id";
/** Priority of the request; requests with higher numbers run first. */
export const PRIORITY_HEADER = "x-ebonypath-priority";
/** Set by a server that rejected a request before it started executing it. */
export const NOT_STARTED_HEADER = "x-ebonypath-not-started";

/** Request headers that are forwarded from the caller to a backend server. */
const FORWARDED_REQUEST_HEADERS = [
  "accept",
  "accept-language",
  "baggage",
  "content-type",
  "traceparent",
  "tracestate",
];

/** Response headers that are forwarded from a backend server to the caller. */
const FORWARDED_RESPONSE_HEADERS = [
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
 * Selects the request headers that are forwarded to a backend server. API keys,
 * cookies and unknown headers are dropped.
 *
 * @example
 * ```ts
 * filterRequestHeaders({ authorization: "Bearer k", accept: "text/html" });
 * // { accept: "text/html" }
 * ```
 */
export function filterRequestHeaders(
  headers: http.IncomingHttpHeaders,
): Headers {
  return pickHeaders(headers, FORWARDED_REQUEST_HEADERS);
}

/**
 * Selects the response headers that are forwarded to the caller.
 *
 * @example
 * ```ts
 * filterResponseHeaders({ server: "engine", "content-type": "text/html" });
 * // { "content-type": "text/html" }
 * ```
 */
export function filterResponseHeaders(
  headers: http.IncomingHttpHeaders,
): Headers {
  return pickHeaders(headers, FORWARDED_RESPONSE_HEADERS);
}

function pickHeaders(
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
