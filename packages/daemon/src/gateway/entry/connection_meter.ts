/**
 * Counts callers' connections and the bytes that pass through them.
 *
 * @module
 */
import type * as net from "node:net";

/**
 * Connections of a server.
 *
 * @example
 * ```ts
 * const meter = new ConnectionMeter(callerServer);
 * meter.connections; // 12
 * meter.bytes; // 48_000
 * ```
 */
export class ConnectionMeter {
  readonly #open = new Set<net.Socket>();
  /** Bytes of connections that are closed. */
  #closedBytes = 0;

  constructor(server: net.Server) {
    server.on("connection", (socket: net.Socket) => {
      this.#open.add(socket);
      socket.once("close", () => {
        this.#open.delete(socket);
        this.#closedBytes += bytesOf(socket);
      });
    });
  }

  /** Open connections. */
  get connections(): number {
    return this.#open.size;
  }

  /**
   * Bytes in both directions so far. What is read from callers is sent on to
   * servers and the other way round, so this is also about what each direction of
   * the host's link has carried.
   */
  get bytes(): number {
    return [...this.#open].reduce(
      (sum, socket) => sum + bytesOf(socket),
      this.#closedBytes,
    );
  }
}

function bytesOf({ bytesRead, bytesWritten }: net.Socket): number {
  return bytesRead + bytesWritten;
}
