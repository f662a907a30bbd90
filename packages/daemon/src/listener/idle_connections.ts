import type * as http from "node:http";
import { readArrivedData } from "./arrived_data.ts";

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
  await readArrivedData();
  server.closeIdleConnections();
}
