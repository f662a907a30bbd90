import type * as http from "node:http";
import * as timers from "node:timers/promises";
import { readArrivedData } from "./arrived_data.ts";

/**
 * Time for which a caller's close may arrive after its last request, in ms: a
 * round trip between regions. After a loss of packets both are sent again.
 */
const CLOSE_DELAY_MS = 50;

/**
 * Whether the caller of a request still waits for the answer. A process that was
 * suspended reads requests whose callers gave up long ago; the ends of their
 * connections have arrived by then, but are read after the requests.
 *
 * @param closeDelayMs time for which the close may be on its way, in milliseconds
 *
 * @example
 * ```ts
 * if (!await isCallerWaiting(request)) return refuse(503);
 * ```
 */
export async function isCallerWaiting(
  request: http.IncomingMessage,
  closeDelayMs = CLOSE_DELAY_MS,
): Promise<boolean> {
  if (closeDelayMs > 0) await timers.setTimeout(closeDelayMs);
  await readArrivedData();
  const { socket } = request;
  return !socket.destroyed && !socket.readableEnded;
}
