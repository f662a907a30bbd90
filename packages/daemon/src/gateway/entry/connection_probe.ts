/**
 * Finds out whether connections to a server can be opened.
 *
 * @module
 */
import * as net from "node:net";
import { gateway } from "@ebonypath/protocol";
import * as v from "valibot";

/** Time limit for the connection of a probe, in milliseconds. */
const PROBE_TIMEOUT_MS = 250;

/** What a new connection to a server tells. */
export type ProbeResult =
  /** A process listens there: the same one, or one that has replaced it. */
  | "listening"
  /** Its host refuses connections: no process listens. */
  | "refused"
  /** No answer in time. */
  | "silent";

/**
 * Opens a connection to `IP:PORT` and closes it.
 *
 * @example
 * ```ts
 * if (await probe("10.0.0.1:80") === "refused") { ... }
 * ```
 */
export function probe(address: string): Promise<ProbeResult> {
  // `net.connect` throws for a port out of range.
  if (!v.is(gateway.Address, address)) return Promise.resolve("silent");
  const separator = address.lastIndexOf(":");
  return new Promise((resolve) => {
    const socket = net.connect({
      host: address.slice(0, separator),
      port: Number(address.slice(separator + 1)),
    });
    const finish = (result: ProbeResult) => {
      socket.destroy();
      resolve(result);
    };
    socket.setTimeout(PROBE_TIMEOUT_MS, () => finish("silent"));
    socket.once("connect", () => finish("listening"));
    socket.once(
      "error",
      (error: NodeJS.ErrnoException) =>
        finish(error.code === "ECONNREFUSED" ? "refused" : "silent"),
    );
  });
}
