import type * as net from "node:net";
import * as undici from "undici";

/** Timeout for opening a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 2_000;
/** Time after which an idle connection is closed, in milliseconds. */
const IDLE_TIMEOUT_MS = 4_000;
/** Age above which a released connection is closed, in milliseconds. */
const MAX_CONNECTION_AGE_MS = 60_000;
/** Maximum size of the response headers, in bytes. */
const MAX_HEADER_BYTES = 32 * 1_024;
/** Maximum number of origins in the pool. */
const MAX_ORIGINS = 2_048;
/** Maximum number of idle connections per origin. */
const MAX_IDLE_CONNECTIONS = 1_024;

const CONNECT_OPTIONS = { timeout: CONNECT_TIMEOUT_MS, noDelay: true };

const CLIENT_OPTIONS = {
  connect: CONNECT_OPTIONS,
  pipelining: 1,
  keepAliveTimeout: IDLE_TIMEOUT_MS,
  keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
  maxHeaderSize: MAX_HEADER_BYTES,
  // Disabled because exchanges and probes set their own timeouts.
  headersTimeout: 0,
  bodyTimeout: 0,
} satisfies undici.Client.Options;

/** Dispatch options of a request that needs access to its socket. */
export interface SocketTrackingOptions
  extends undici.Dispatcher.DispatchOptions {
  /** Receives a function that returns the socket of the connection, if any. */
  readonly setSocketProvider: (getSocket: () => net.Socket | undefined) => void;
}

/** A client with one connection that gives requests access to its socket. */
class SocketTrackingClient extends undici.Client {
  #socket: net.Socket | undefined;

  constructor(origin: string | URL, options: undici.Client.Options) {
    const connect = undici.buildConnector(CONNECT_OPTIONS);
    super(origin, {
      ...options,
      connect: (target, callback) =>
        connect(target, (...result: Parameters<typeof callback>) => {
          this.#socket = result[1] ?? undefined;
          callback(...result);
        }),
    });
  }

  override dispatch(
    options: undici.Dispatcher.DispatchOptions & Partial<SocketTrackingOptions>,
    handler: undici.Dispatcher.DispatchHandler,
  ): boolean {
    options.setSocketProvider?.(() => this.#socket);
    return super.dispatch(options, handler);
  }
}

/**
 * Creates a client with a connection of its own, outside the pool. The caller
 * must close or destroy it.
 *
 * @example
 * ```ts
 * const client = createClient("http://127.0.0.1:9000");
 * ```
 */
export function createClient(origin: string): undici.Client {
  return new SocketTrackingClient(origin, CLIENT_OPTIONS);
}

/**
 * Closes a client after its request. If the response is incomplete, the
 * connection is destroyed immediately.
 *
 * @example
 * ```ts
 * closeClient(client, true);
 * ```
 */
export function closeClient(client: undici.Client, isComplete: boolean): void {
  const closing = isComplete ? client.close() : client.destroy();
  closing.catch(() => {});
}

/** A connection that is reserved for one request until it is released. */
export interface PooledConnection {
  readonly client: undici.Client;
  /** Whether it carried other requests before. */
  readonly isReused: boolean;
  /** Returns the connection. It is reused only after a complete response. */
  release(isComplete: boolean): void;
}

/** A pooled connection without an active request. */
interface IdleConnection {
  readonly client: undici.Client;
  /** Creation time of the client; monotonic, in milliseconds. */
  readonly createdAt: number;
  /** End of the last request; monotonic, in milliseconds. */
  readonly lastUsedAt: number;
}

/** Pool of persistent connections to backend servers, by origin. */
export class ConnectionPool {
  readonly #originPools = new Map<string, OriginPool>();

  /**
   * Reserves an idle connection to an origin, or a new one if none is idle.
   *
   * @example
   * ```ts
   * const connection = pool.acquire("http://127.0.0.1:9000");
   * connection.client.dispatch(options, handler);
   * // After the response:
   * connection.release(true);
   * ```
   */
  acquire(origin: string): PooledConnection {
    return this.#originPoolFor(origin).acquire();
  }

  /**
   * Stops the reuse of the current connections to an origin. Active requests
   * continue; later requests open new connections. Used when a connection no
   * longer delivers data although its server is alive.
   */
  retire(origin: string): void {
    const originPool = this.#originPools.get(origin);
    this.#originPools.delete(origin);
    originPool?.retire();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const originPools = [...this.#originPools.values()];
    this.#originPools.clear();
    await Promise.all(
      originPools.map((originPool) => originPool[Symbol.asyncDispose]()),
    );
  }

  #originPoolFor(origin: string): OriginPool {
    const existing = this.#originPools.get(origin);
    if (existing !== undefined) return existing;
    const [oldest] = this.#originPools.keys();
    if (oldest !== undefined && this.#originPools.size >= MAX_ORIGINS) {
      this.retire(oldest);
    }
    const originPool = new OriginPool(origin);
    this.#originPools.set(origin, originPool);
    return originPool;
  }
}

/**
 * Connections to one origin. The most recently used connection is reused first
 * (LIFO), so that surplus connections reach the idle timeout and are closed,
 * and the cost of a request does not depend on the number of connections.
 */
class OriginPool implements AsyncDisposable {
  readonly #origin: string;
  readonly #idle: IdleConnection[] = [];
  readonly #active = new Set<undici.Client>();
  #isRetired = false;

  constructor(origin: string) {
    this.#origin = origin;
  }

  acquire(): PooledConnection {
    const idle = this.#idle.pop();
    const createdAt = idle?.createdAt ?? performance.now();
    const client = idle?.client ?? createClient(this.#origin);
    this.#active.add(client);
    return {
      client,
      isReused: idle !== undefined,
      release: (isComplete) => this.#release(client, createdAt, isComplete),
    };
  }

  /** Closes idle connections now and active ones when they are released. */
  retire(): void {
    this.#isRetired = true;
    for (const { client } of this.#idle.splice(0)) closeClient(client, true);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const idle = this.#idle.splice(0).map(({ client }) => client);
    const clients = [...idle, ...this.#active];
    this.#isRetired = true;
    await Promise.all(clients.map((client) => client.destroy()));
  }

  #release(
    client: undici.Client,
    createdAt: number,
    isComplete: boolean,
  ): void {
    if (!this.#active.delete(client)) return;
    const now = performance.now();
    const isExpired = now - createdAt > MAX_CONNECTION_AGE_MS;
    const isFull = this.#idle.length >= MAX_IDLE_CONNECTIONS;
    if (!isComplete || isExpired || isFull || this.#isRetired) {
      closeClient(client, isComplete);
    } else this.#idle.push({ client, createdAt, lastUsedAt: now });
    this.#removeTimedOut(now);
  }

  /**
   * Removes clients past the idle timeout from the pool. Their sockets have
   * already been closed by the keep-alive timeout.
   */
  #removeTimedOut(now: number): void {
    const { length } = this.#idle;
    let count = 0;
    while (count < length && this.#hasIdleTimedOut(count, now)) count += 1;
    if (count === 0) return;
    for (const { client } of this.#idle.splice(0, count)) {
      closeClient(client, true);
    }
  }

  #hasIdleTimedOut(index: number, now: number): boolean {
    const connection = this.#idle[index];
    return connection !== undefined &&
      now - connection.lastUsedAt > IDLE_TIMEOUT_MS;
  }
}
