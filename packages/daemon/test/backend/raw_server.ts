import { once } from "node:events";
import * as net from "node:net";

/** A TCP server that responds to received data with raw bytes. */
export class RawServer {
  /** All received data, decoded as text. */
  received = "";
  readonly #server: net.Server;
  readonly #sockets = new Set<net.Socket>();

  /**
   * @param response the same for all received data, or one for each in order
   * @param closeAfterResponse whether each connection ends after a response
   */
  constructor(
    response: string | readonly string[],
    closeAfterResponse = false,
  ) {
    const responses = typeof response === "string" ? [] : [...response];
    const nextResponse = () =>
      typeof response === "string" ? response : responses.shift() ?? "";
    this.#server = net.createServer((socket) => {
      this.#sockets.add(socket);
      socket.on("error", () => {});
      socket.on("data", (chunk) => {
        this.received += chunk.toString();
        if (closeAfterResponse) socket.end(nextResponse());
        else socket.write(nextResponse());
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
