import { Buffer } from "node:buffer";
import type * as http from "node:http";

/** Largest body that a fake reads, in bytes. */
const BODY_BYTES = 16 * 1_024 * 1_024;

/** Tells the other side that a request was refused before it started. */
export const NOT_STARTED_HEADER = "x-ebonypath-not-started";

/** Reads the whole body of a request as text. */
export async function readText(
  request: http.IncomingMessage,
): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request) {
    bytes += (chunk as Buffer).length;
    if (bytes > BODY_BYTES) throw new RangeError("the body is too large");
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString("utf8");
}

/** Sends a JSON document. */
export function sendJson(
  response: http.ServerResponse,
  status: number,
  value: unknown,
  headers: http.OutgoingHttpHeaders = {},
): void {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
    ...headers,
  });
  response.end(body);
}

/** Refuses a request of which nothing was executed. */
export function sendNotStarted(
  response: http.ServerResponse,
  status: number,
  code: string,
  requestId: string | undefined,
): void {
  const headers: http.OutgoingHttpHeaders = { [NOT_STARTED_HEADER]: "true" };
  if (requestId !== undefined) headers["x-request-id"] = requestId;
  sendJson(response, status, { error: { code, message: code } }, headers);
}
