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
  /** Chooses the link of a new connection by the IP address of its client. */
  readonly linkOf?: (clientAddress: string) => Link | undefined;
}

/** Both directions of a link. */
export interface Link {
  /** Bytes from clients to the target. */
  readonly toTarget: direction.Direction;
  /** Bytes from the target to clients. */
  readonly toClient: direction.Direction;
}

/**
 * Creates a link without faults.
 *
 * @example
 * ```ts
 * const link = createLink();
 * link.toTarget.hold();
 * ```
 */
export function createLink(): Link {
  return {
    toTarget: new direction.Direction(),
    toClient: new direction.Direction(),
  };
}

interface Connection {
  readonly link: Link;
  readonly client: net.Socket;
  readonly target: net.Socket;
  readonly pipes: {
    readonly toTarget: pipe.Pipe;
    readonly toClient: pipe.Pipe;
  };
}

/** A running proxy; faults may be changed at any time. */
export class FaultProxy {
  /** The link of connections that `linkOf` gives none. */
  readonly link: Link = createLink();
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

  /** Bytes from clients to the target. */
  get toTarget(): direction.Direction {
    return this.link.toTarget;
  }

  /** Bytes from the target to clients. */
  get toClient(): direction.Direction {
    return this.link.toClient;
  }

  get openConnections(): number {
    return this.#connections.size;
  }

  /** Listens, under the same port after the first time. */
  async acceptNew(): Promise<void> {
    if (this.#server !== undefined) return;
    const server = net.createServer(
      { allowHalfOpen: true, noDelay: true },
      (client) => void this.#accept(client),
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

  /** Resets every open connection, or those of one link. */
  cutAll(link?: Link): void {
    for (const { client, target } of this.#openOn(link)) {
      client.resetAndDestroy();
      target.resetAndDestroy();
    }
  }

  /** Makes open connections silent both ways for good; new ones work. */
  blackholeOpen(link?: Link): void {
    for (const { pipes } of this.#openOn(link)) {
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

  #openOn(link: Link | undefined): Connection[] {
    const open = [...this.#connections];
    return link === undefined ? open : open.filter((one) => one.link === link);
  }

  #accept(client: net.Socket): void {
    this.accepted += 1;
    client.on("error", () => {});
    const link = this.#options.linkOf?.(client.remoteAddress ?? "");
    this.#connect(client, link ?? this.link);
  }

  #connect(client: net.Socket, link: Link): void {
    const [host, port] = this.#options.target.split(":");
    const target = net.connect({
      host: host as string,
      port: Number(port),
      allowHalfOpen: true,
      noDelay: true,
    });
    const pipes = {
      toTarget: new pipe.Pipe(client, target, link.toTarget),
      toClient: new pipe.Pipe(target, client, link.toClient),
    };
    const connection: Connection = { link, client, target, pipes };
    this.#connections.add(connection);
    for (const socket of [client, target]) {
      socket.on("error", () => this.#end(connection, socket));
      socket.on("close", () => this.#end(connection, socket));
    }
  }

  /** One side has ended; over a silent connection the other does not hear. */
  #end(connection: Connection, socket: net.Socket): void {
    const { client, pipes, target } = connection;
    const pipe = socket === client ? pipes.toTarget : pipes.toClient;
    const isHeard = !pipe.isBlackhole || client.destroyed && target.destroyed;
    if (isHeard) this.#close(connection);
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
