import { Buffer } from "node:buffer";
import * as http from "node:http";
import * as net from "node:net";
import type * as stream from "node:stream";

/**
 * Bytes that one read of a connection takes at most. Connections that become
 * readable together are all read once before any can be paused, so this bounds
 * how many small chunks hold up everything else.
 */
const READ_BYTES = 16_384;
/** Shared by all connections, since what is read is copied at once. */
const readBuffer = Buffer.allocUnsafeSlow(READ_BYTES);

/**
 * Agent that closes an idle connection when its server sends bytes on it. They
 * answer no request, and the connection would stay in use for as long as they
 * arrive. Connections are read in small parts.
 *
 * @example
 * ```ts
 * const agent = new GuardedAgent({ keepAlive: true, maxFreeSockets: 8 });
 * ```
 */
export class GuardedAgent extends http.Agent {
  override createConnection(options: net.NetConnectOpts): net.Socket {
    const onRead = (bytesRead: number): boolean =>
      socket.push(Buffer.from(readBuffer.subarray(0, bytesRead)));
    const onread = { buffer: readBuffer, callback: onRead };
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

function closeOnData(this: net.Socket): void {
  this.destroy();
}
