import * as http from "node:http";
import type * as net from "node:net";
import type * as stream from "node:stream";

/**
 * Agent that closes an idle connection when its server sends bytes on it. They
 * answer no request, and the connection would stay in use for as long as they
 * arrive.
 *
 * @example
 * ```ts
 * const agent = new GuardedAgent({ keepAlive: true, maxFreeSockets: 8 });
 * ```
 */
export class GuardedAgent extends http.Agent {
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
