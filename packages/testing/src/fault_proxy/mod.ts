/**
 * A TCP proxy that injects faults between two processes.
 *
 * @module
 */
import { once } from "node:events";
import * as net from "node:net";
import * as direction from "./direction.ts";
import * as pipe from "./pipe.ts";

export { Direction } from "./direction.ts";

/** Where a proxy listens and what stands behind it. */
export interface FaultProxyOptions {
  /** `host:port` of the process behind the proxy. */
  readonly target: string;
  /** Port to listen on; 0 chooses one. */
  readonly port?: number;
}

interface Connection {
  readonly client: net.Socket;
  readonly target: net.Socket;
  readonly pipes: {
    readonly toTarget: pipe.Pipe;
    readonly toClient: pipe.Pipe;
  };
}

/** A running proxy; faults may be changed at any time. */
export class FaultProxy {
  /** Bytes from clients to the target. */
  readonly toTarget = new direction.Direction();
  /** Bytes from the target to clients. */
  readonly toClient = new direction.Direction();
  /** Connections that were accepted. */
  accepted = 0;
  readonly #options: FaultProxyOptions;
  readonly #connections = new Set<Connection>();
  #server: net.Server | undefined;
  #port: number;

  constructor(options: FaultProxyOptions) {
    this.#options = options;
    this.#port = options.port ?? 0;
  }

  get port(): number {
    return this.#port;
  }

  /** `host:port` that clients connect to. */
  get address(): string {
    return `127.0.0.1:${this.#port}`;
  }

  get openConnections(): number {
    return this.#connections.size;
  }

  /** Listens, under the same port after the first time. */
  async acceptNew(): Promise<void> {
    if (this.#server !== undefined) return;
    const server = net.createServer(
      { allowHalfOpen: true, noDelay: true },
      (client) => this.#connect(client),
    );
    server.listen(this.#port, "127.0.0.1");
    await once(server, "listening");
    this.#server = server;
    this.#port = (server.address() as net.AddressInfo).port;
  }

  /** Refuses new connections; open ones go on. */
  refuseNew(): void {
    this.#server?.close();
    this.#server = undefined;
  }

  /** Resets every open connection. */
  cutAll(): void {
    for (const { client, target } of [...this.#connections]) {
      client.resetAndDestroy();
      target.resetAndDestroy();
    }
  }

  /** Makes open connections silent both ways for good; new ones work. */
  blackholeOpen(): void {
    for (const { pipes } of this.#connections) {
      pipes.toTarget.blackhole();
      pipes.toClient.blackhole();
    }
  }

  /** Ends one direction of every open connection; the other one goes on. */
  halfClose(way: "toTarget" | "toClient"): void {
    for (const { pipes } of this.#connections) pipes[way].halfClose();
  }

  /** Holds all bytes back both ways, on open and on new connections. */
  isolate(): void {
    this.toTarget.hold();
    this.toClient.hold();
  }

  /** Removes delays, limits and silences; accepts new connections. */
  async heal(): Promise<void> {
    this.toTarget.heal();
    this.toClient.heal();
    await this.acceptNew();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const server = this.#server;
    this.refuseNew();
    this.cutAll();
    if (server?.listening) await once(server, "close");
  }

  #connect(client: net.Socket): void {
    this.accepted += 1;
    const [host, port] = this.#options.target.split(":");
    const target = net.connect({
      host: host as string,
      port: Number(port),
      allowHalfOpen: true,
      noDelay: true,
    });
    const pipes = {
      toTarget: new pipe.Pipe(client, target, this.toTarget),
      toClient: new pipe.Pipe(target, client, this.toClient),
    };
    const connection: Connection = { client, target, pipes };
    this.#connections.add(connection);
    const close = () => this.#close(connection);
    for (const socket of [client, target]) {
      socket.on("error", close);
      socket.on("close", close);
    }
  }

  #close(connection: Connection): void {
    if (!this.#connections.delete(connection)) return;
    connection.pipes.toTarget.stop();
    connection.pipes.toClient.stop();
    connection.client.destroy();
    connection.target.destroy();
  }
}

/**
 * Starts a proxy on 127.0.0.1.
 *
 * @example
 * ```ts
 * await using proxy = await startFaultProxy({ target: "127.0.0.1:7001" });
 * proxy.toClient.hold();
 * ```
 */
export async function startFaultProxy(
  options: FaultProxyOptions,
): Promise<FaultProxy> {
  const proxy = new FaultProxy(options);
  await proxy.acceptNew();
  return proxy;
}
