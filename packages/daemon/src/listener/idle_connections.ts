import type * as http from "node:http";
import * as timers from "node:timers/promises";

/**
 * Closes the connections of a server that have no active request. Requests that
 * have arrived but were not read yet, because the event loop was busy, are read
 * first: closing their connections would reset them.
 *
 * @example
 * ```ts
 * await closeIdleConnections(server);
 * ```
 */
export async function closeIdleConnections(server: http.Server): Promise<void> {
  // The first immediate may run in the current turn of the event loop, the
  // second one runs after the next turn has read what has arrived.
  await timers.setImmediate();
  await timers.setImmediate();
  server.closeIdleConnections();
}
