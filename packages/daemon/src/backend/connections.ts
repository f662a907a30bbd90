import type * as net from "node:net";
import * as undici from "undici";

/** Longest time to open a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 2_000;
/** Longest time that a connection stays unused, in milliseconds. */
const IDLE_MS = 4_000;
/** Longest life of a pooled connection, in milliseconds. */
const MAX_AGE_MS = 60_000;
/** Largest head of an answer, in bytes. */
const HEAD_BYTES = 32 * 1_024;
/** Most servers whose connections are kept. */
const POOLS = 2_048;

const CONNECT_OPTIONS = { timeout: CONNECT_TIMEOUT_MS, noDelay: true };

const CLIENT_OPTIONS = {
  connect: CONNECT_OPTIONS,
  pipelining: 1,
  keepAliveTimeout: IDLE_MS,
  keepAliveMaxTimeout: IDLE_MS,
  maxHeaderSize: HEAD_BYTES,
  // Exchanges and probes have timers of their own.
  headersTimeout: 0,
  bodyTimeout: 0,
} satisfies undici.Client.Options;

/** Options of a request that has to find its socket. */
export interface TrackedOptions extends undici.Dispatcher.DispatchOptions {
  /** Told how to find the socket, once the request has begun. */
  readonly useSocket: (socketOf: () => net.Socket | undefined) => void;
}

/** A client with one connection, whose socket requests can find. */
class Client extends undici.Client {
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
    options: undici.Dispatcher.DispatchOptions & Partial<TrackedOptions>,
    handler: undici.Dispatcher.DispatchHandler,
  ): boolean {
    options.useSocket?.(() => this.#socket);
    return super.dispatch(options, handler);
  }
}

/**
 * Opens a client for one request; destroy it after use.
 *
 * @example
 * ```ts
 * const client = freshClient("http://127.0.0.1:9000");
 * ```
 */
export function freshClient(origin: string): undici.Client {
  return new Client(origin, CLIENT_OPTIONS);
}

/**
 * Closes a fresh client after its request; at once if the answer is not whole.
 *
 * @example
 * ```ts
 * closeFresh(client, true);
 * ```
 */
export function closeFresh(client: undici.Client, isWhole: boolean): void {
  const closed = isWhole ? client.close() : client.destroy();
  closed.catch(() => {});
}

/** Kept connections to backend servers, by origin. */
export class Connections {
  readonly #pools = new Map<string, undici.Pool>();

  /** Returns the pool of an origin. */
  pool(origin: string): undici.Pool {
    const known = this.#pools.get(origin);
    if (known !== undefined) return known;
    const pool = new undici.Pool(origin, {
      ...CLIENT_OPTIONS,
      clientTtl: MAX_AGE_MS,
      factory: (target, options) => new Client(target, options),
    });
    this.#evict();
    this.#pools.set(origin, pool);
    return pool;
  }

  /**
   * Opens new connections for later requests; those that run go on. Used when
   * a connection went silent although its server is alive.
   */
  retire(origin: string): void {
    const pool = this.#pools.get(origin);
    this.#pools.delete(origin);
    void pool?.close().catch(() => {});
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  #evict(): void {
    const [oldest] = this.#pools.keys();
    if (oldest !== undefined && this.#pools.size >= POOLS) this.retire(oldest);
  }
}
