import { Buffer } from "node:buffer";
import * as http from "node:http";
import * as net from "node:net";
import type * as stream from "node:stream";
import * as core from "@ebonypath/core";

/**
 * Bytes that the first read of a response takes at most. Connections that become
 * readable together are all read once before any can be paused, so this bounds
 * how many small chunks hold up everything else.
 */
const MIN_READ_BYTES = 2_048;
/**
 * Bytes that any read takes at most. A read of all that it may take doubles the
 * next; one of less has read all that was there, as the last of a response.
 */
const MAX_READ_BYTES = 16_384;
/** Shared by all connections, since what is read is copied at once. */
const readBuffer = Buffer.allocUnsafeSlow(MAX_READ_BYTES);

/** How many bytes of a connection are read at once. */
class ReadSize {
  #bytes = MIN_READ_BYTES;

  /** The buffer for the next read. */
  get buffer(): Buffer {
    return readBuffer.subarray(0, this.#bytes);
  }

  /** Takes note of a read, and returns a copy of what it read. */
  take(bytesRead: number): Buffer {
    const copy = Buffer.from(readBuffer.subarray(0, bytesRead));
    const isFilled = bytesRead === this.#bytes;
    this.#bytes = isFilled
      ? Math.min(MAX_READ_BYTES, 2 * this.#bytes)
      : MIN_READ_BYTES;
    return copy;
  }
}

/**
 * Agent that closes an idle connection when its server sends bytes on it. They
 * answer no request, and the connection would stay in use for as long as they
 * arrive. Connections are read in small parts, which grow with a response.
 *
 * @example
 * ```ts
 * const agent = new GuardedAgent({ keepAlive: true, maxFreeSockets: 8 });
 * ```
 */
export class GuardedAgent extends http.Agent {
  override createConnection(options: net.NetConnectOpts): net.Socket {
    const size = new ReadSize();
    const onRead = (bytesRead: number): boolean =>
      socket.push(size.take(bytesRead));
    const onread = { buffer: () => size.buffer, callback: onRead };
    const socket: net.Socket = net.createConnection({ ...options, onread });
    return socket;
  }

  override keepSocketAlive(socket: stream.Duplex): boolean {
    const isKept = super.keepSocketAlive(socket) as unknown as boolean;
    if (isKept) socket.on("data", closeOnData);
    return isKept;
  }

  override reuseSocket(
    socket: stream.Duplex,
    request: http.ClientRequest,
  ): void {
    socket.off("data", closeOnData);
    super.reuseSocket(socket, request);
  }
}

/**
 * Fails a request whose server sends interim responses again and again.
 *
 * @example
 * ```ts
 * limitInterimResponses(http.request(options));
 * ```
 */
export function limitInterimResponses(request: http.ClientRequest): void {
  let count = 0;
  request.on("information", () => {
    count += 1;
    if (count !== core.gateway.MAX_INTERIM_RESPONSES + 1) return;
    request.destroy(new Error("too many interim responses"));
  });
}

function closeOnData(this: net.Socket): void {
  this.destroy();
}
