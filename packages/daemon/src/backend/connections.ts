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
const ORIGINS = 2_048;
/** Most unused connections that are kept to one server. */
const UNUSED = 1_024;

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
 * Closes a client after its request; at once if the answer is not whole.
 *
 * @example
 * ```ts
 * closeClient(client, true);
 * ```
 */
export function closeClient(client: undici.Client, isWhole: boolean): void {
  const closed = isWhole ? client.close() : client.destroy();
  closed.catch(() => {});
}

/** A connection that one request has to itself until it is released. */
export interface Connection {
  readonly client: undici.Client;
  /** Gives it back; it is kept only after a whole answer. */
  release(isWhole: boolean): void;
}

/** A kept connection on which no request runs. */
interface Unused {
  readonly client: undici.Client;
  /** When its client was made; monotonic, in milliseconds. */
  readonly since: number;
  /** When its last request ended; monotonic, in milliseconds. */
  readonly usedAt: number;
}

/** Kept connections to backend servers, by origin. */
export class Connections {
  readonly #stacks = new Map<string, ConnectionStack>();

  /**
   * Takes a connection to an origin.
   *
   * @example
   * ```ts
   * const connection = connections.acquire("http://127.0.0.1:9000");
   * connection.client.dispatch(options, handler);
   * // after the answer
   * connection.release(true);
   * ```
   */
  acquire(origin: string): Connection {
    return this.#stackOf(origin).acquire();
  }

  /**
   * Opens new connections for later requests; those that run go on. Used when
   * a connection went silent although its server is alive.
   */
  retire(origin: string): void {
    const stack = this.#stacks.get(origin);
    this.#stacks.delete(origin);
    stack?.retire();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const stacks = [...this.#stacks.values()];
    this.#stacks.clear();
    await Promise.all(stacks.map((stack) => stack[Symbol.asyncDispose]()));
  }

  #stackOf(origin: string): ConnectionStack {
    const known = this.#stacks.get(origin);
    if (known !== undefined) return known;
    const [oldest] = this.#stacks.keys();
    if (oldest !== undefined && this.#stacks.size >= ORIGINS) {
      this.retire(oldest);
    }
    const stack = new ConnectionStack(origin);
    this.#stacks.set(origin, stack);
    return stack;
  }
}

/**
 * Connections to one server. The one used last is used first, so that those
 * that are not needed fall idle and are closed, and the cost of a request does
 * not depend on how many there are.
 */
class ConnectionStack implements AsyncDisposable {
  readonly #origin: string;
  readonly #unused: Unused[] = [];
  readonly #used = new Set<undici.Client>();
  #isRetired = false;

  constructor(origin: string) {
    this.#origin = origin;
  }

  acquire(): Connection {
    const kept = this.#unused.pop();
    const since = kept?.since ?? performance.now();
    const client = kept?.client ?? freshClient(this.#origin);
    this.#used.add(client);
    return {
      client,
      release: (isWhole) => this.#release(client, since, isWhole),
    };
  }

  /** Closes what is unused, and the others as they are released. */
  retire(): void {
    this.#isRetired = true;
    for (const { client } of this.#unused.splice(0)) closeClient(client, true);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const unused = this.#unused.splice(0).map(({ client }) => client);
    const clients = [...unused, ...this.#used];
    this.#isRetired = true;
    await Promise.all(clients.map((client) => client.destroy()));
  }

  #release(client: undici.Client, since: number, isWhole: boolean): void {
    if (!this.#used.delete(client)) return;
    const now = performance.now();
    const isOld = now - since > MAX_AGE_MS;
    const isFull = this.#unused.length >= UNUSED;
    if (!isWhole || isOld || isFull || this.#isRetired) {
      closeClient(client, isWhole);
    } else this.#unused.push({ client, since, usedAt: now });
    this.#dropIdle(now);
  }

  /** The sockets of these are closed already: their clients are forgotten. */
  #dropIdle(now: number): void {
    const { length } = this.#unused;
    let idle = 0;
    while (idle < length && this.#isIdle(idle, now)) idle += 1;
    if (idle === 0) return;
    for (const { client } of this.#unused.splice(0, idle)) {
      closeClient(client, true);
    }
  }

  #isIdle(index: number, now: number): boolean {
    const unused = this.#unused[index];
    return unused !== undefined && now - unused.usedAt > IDLE_MS;
  }
}
