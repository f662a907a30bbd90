import { once } from "node:events";
import * as net from "node:net";

/** A TCP server that responds to all received data with the same raw bytes. */
export class RawServer {
  /** All received data, decoded as text. */
  received = "";
  readonly #server: net.Server;
  readonly #sockets = new Set<net.Socket>();

  /** If `closeAfterResponse` is set, each connection ends after the response. */
  constructor(response: string, closeAfterResponse = false) {
    this.#server = net.createServer((socket) => {
      this.#sockets.add(socket);
      socket.on("error", () => {});
      socket.on("data", (chunk) => {
        this.received += chunk.toString();
        if (closeAfterResponse) socket.end(response);
        else socket.write(response);
      });
    });
  }

  get address(): string {
    const { port } = this.#server.address() as net.AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  /** Whether the first connection is closed. */
  get isFirstClosed(): boolean {
    const [first] = this.#sockets;
    return first?.destroyed === true;
  }

  async start(): Promise<this> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    return this;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
    await once(this.#server, "close");
  }
}
