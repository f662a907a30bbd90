/**
 * Bounds what the clients of a listener hold at this host, whatever they send:
 * connections, requests ahead, bodies on their way and unread answers.
 *
 * A read of 64 KiB may hold thousands of requests or chunks, and `node:http`
 * makes objects of all of them before anything else runs. So the requests are
 * counted where they are made, and a connection that exceeds its limit is closed
 * in the middle of a read.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import * as http from "node:http";
import type * as net from "node:net";
import process from "node:process";
import * as v8 from "node:v8";
import * as core from "@ebonypath/core";
import * as httpBody from "../http_body/mod.ts";
import * as log from "../log/mod.ts";

const write = log.createLog("clients");

/** Interval of the log lines of a fault, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;
/** Time for a request's head, in ms, unless a listener has its own. */
const HEADERS_TIMEOUT_MS = 10_000;
/** How often Node.js looks for requests that take too long, in milliseconds. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;
/**
 * Memory of a chunk that waits in the queue of its message, in bytes: its
 * `Buffer`, backing store and place in the queue. Measured with Node.js 20.19 by
 * the resident memory of half a million chunks of a byte.
 */
const QUEUED_CHUNK_BYTES = 464;
/** Part of the connections from which on some make room for new ones. */
const CROWDED_FRACTION = 0.9;

/** Name, limits and callbacks of a guarded listener. */
export interface GuardOptions {
  /** Name of the listener in logs and metrics. */
  readonly name: string;
  readonly limits: core.clients.ClientLimits;
  /** Called with each connection that is closed for a fault. */
  onFault?(listener: string, fault: core.clients.ClientFault): void;
}

type CreateServer = (
  options: http.ServerOptions,
  listener: http.RequestListener,
) => http.Server;

/** Answers a request that is malformed or late, and closes its connection. */
type ErrorResponder = (
  error: NodeJS.ErrnoException,
  socket: net.Socket,
) => void;

const connections = new WeakMap<net.Socket, Connection>();
const REFUSED = Symbol("refused");
const UPGRADE = Symbol("upgrade");

/** One connection, and what it holds. */
class Connection implements core.clients.ConnectionLoad {
  readonly guard: ClientGuard;
  readonly socket: net.Socket;
  /** Answers that are not sent completely. */
  readonly responses = new Set<GuardedResponse>();
  progressAt = performance.now();
  bodyBytes = 0;
  unreadBytes = 0;
  hasSentRequest = false;
  #isClosed = false;

  constructor(guard: ClientGuard, socket: net.Socket) {
    this.guard = guard;
    this.socket = socket;
  }

  get state(): core.clients.ConnectionLoad["state"] {
    if (this.responses.size === 0) {
      return this.hasSentRequest ? "idle" : "nothing";
    }
    let isUnread = true;
    for (const { req, writableEnded } of this.responses) {
      if (writableEnded) continue;
      if (req.complete) return "busy";
      isUnread = false;
    }
    return isUnread ? "unread" : "body";
  }

  /** Whether an answer of the host's own would be taken for another one's. */
  get mayHaveRun(): boolean {
    for (const { headersSent, req } of this.responses) {
      if (req.complete || headersSent) return true;
    }
    return this.responses.size > 1;
  }

  addBody(bytes: number): void {
    if (this.#isClosed) return;
    this.progressAt = performance.now();
    this.bodyBytes += bytes;
    this.guard.addBody(bytes);
  }

  endBody(bytes: number): void {
    if (this.#isClosed || bytes === 0) return;
    this.bodyBytes -= bytes;
    this.guard.addBody(-bytes);
  }

  addUnread(bytes: number): void {
    if (this.#isClosed) return;
    this.unreadBytes += bytes;
    this.guard.addUnread(bytes);
  }

  close(fault: core.clients.ClientFault): void {
    this.release();
    // Their handlers may keep the requests for longer than this turn.
    for (const { req } of this.responses) req.dropBody();
    if (this.socket.destroyed) return;
    this.guard.recordFault(fault);
    // A request whose body is not complete has not run, and never will.
    const isRefusable = this.responses.size === 1 && !this.mayHaveRun;
    if (isRefusable && this.socket.writable) {
      this.socket.write(
        "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n" +
          "Retry-After: 1\r\nContent-Length: 0\r\n\r\n",
      );
    }
    this.socket.destroy();
  }

  /** Stops to count what the connection holds, which is given up. */
  release(): void {
    if (this.#isClosed) return;
    this.guard.addBody(-this.bodyBytes);
    this.guard.addUnread(-this.unreadBytes);
    this.bodyBytes = 0;
    this.unreadBytes = 0;
    this.#isClosed = true;
  }

  /** Node.js tells only the answer that is being sent of the end. */
  end(): void {
    for (const response of this.responses) {
      response.destroy();
      if (!response.closed) response.emit("close");
    }
    this.responses.clear();
    this.release();
  }
}

/** A request whose body counts towards the limits until it is complete. */
class GuardedRequest extends http.IncomingMessage {
  declare [REFUSED]: boolean | undefined;
  declare [UPGRADE]: boolean | null;
  readonly #connection: Connection | undefined;
  #bytes = 0;
  #isDiscarded = false;
  /** Chunks of this turn of the event loop, and when they began and ended. */
  #chunks = 0;
  #readAt = 0;
  #readUntil = 0;
  #isResting = false;

  constructor(socket: net.Socket) {
    super(socket);
    const connection = connections.get(socket);
    this.#connection = connection;
    if (connection === undefined) return;
    connection.hasSentRequest = true;
    connection.progressAt = performance.now();
    this[REFUSED] = !connection.guard.admits(connection);
    // Node.js lets go of the connection, and doesn't notice its end if answers
    // before this request are unread.
    if (this[REFUSED]) setImmediate(() => socket.destroy());
  }

  /**
   * Node.js asks this when the head is complete. If it is true and nothing
   * listens for upgrades, Node.js parses nothing more and closes the connection.
   */
  get upgrade(): boolean | null {
    return this[REFUSED] === true || this[UPGRADE];
  }

  set upgrade(value: boolean | null) {
    this[UPGRADE] = value;
  }

  override push(chunk: Buffer | null, encoding?: BufferEncoding): boolean {
    if (chunk === null) {
      this.#endBody();
      return super.push(chunk, encoding);
    }
    this.#countChunk();
    if (this.#isDiscarded) return true;
    this.#count(chunk.length);
    return super.push(chunk, encoding);
  }

  /**
   * Node.js calls this when the answer is sent, and would take the chunks that
   * are left without a call of `push`, which lets others have the event loop.
   */
  _dump(): void {
    this.discardRest();
    this.removeAllListeners("data");
    this.resume();
  }

  /** Node.js asks for more whenever a chunk was taken. */
  override _read(size: number): void {
    if (!this.#isResting) super._read(size);
  }

  /** Drops what has come of the body and what is left of it. */
  dropBody(): void {
    this.#discard();
    if (this.readableFlowing !== true) this.read();
  }

  /** Drops what is left of the body, which nobody needs any more. */
  discardRest(): void {
    if (this.complete || this.#isDiscarded) return;
    this.#discard();
    if (this.readableFlowing === null) this.resume();
  }

  override _destroy(
    error: Error | null,
    callback: (error?: Error | null) => void,
  ): void {
    this.#endBody();
    super._destroy(error, callback);
  }

  #discard(): void {
    this.#isDiscarded = true;
    this.#endBody();
  }

  #countChunk(): void {
    const now = performance.now();
    if (this.#chunks === 0) {
      this.#readAt = now;
      // A tick runs after each chunk that the parser of a server comes upon; this
      // runs when it has gone through all that was read.
      setImmediate(() => this.#rest());
    }
    this.#readUntil = now;
    this.#chunks += 1;
  }

  /** Lets others have the event loop after a read of many small chunks. */
  #rest(): void {
    const chunks = this.#chunks;
    this.#chunks = 0;
    const tookMs = this.#readUntil - this.#readAt;
    const delayMs = httpBody.readPacer.delayMs(
      { chunks, tookMs },
      performance.now(),
    );
    if (delayMs <= 0 || this.complete || this.destroyed) return;
    this.#isResting = true;
    this.socket.pause();
    setTimeout(() => {
      this.#isResting = false;
      if (!this.socket.destroyed) this.socket.resume();
    }, delayMs);
  }

  #count(length: number): void {
    // A reader that takes each chunk at once is expected to join them.
    const bytes = this.readableFlowing === true
      ? length
      : length + QUEUED_CHUNK_BYTES;
    this.#bytes += bytes;
    this.#connection?.addBody(bytes);
  }

  #endBody(): void {
    this.#connection?.endBody(this.#bytes);
    this.#bytes = 0;
  }
}

/** A response whose bytes count until they are sent. */
class GuardedResponse extends http.ServerResponse<GuardedRequest> {
  readonly #connection: Connection | undefined;
  #bytes = 0;

  constructor(request: GuardedRequest) {
    super(request);
    const connection = connections.get(request.socket);
    this.#connection = connection;
    if (connection === undefined) return;
    connection.responses.add(this);
    connection.guard.addAhead(connection.responses.size > 1 ? 1 : 0);
    this.once("close", () => {
      connection.guard.addAhead(connection.responses.size > 1 ? -1 : 0);
      connection.responses.delete(this);
      connection.progressAt = performance.now();
      this.#countUnread(0);
    });
    this.on("drain", () => this.#countUnread(this.writableLength));
  }

  // deno-lint-ignore no-explicit-any -- the overloads of Node.js
  override write(...parameters: any[]): boolean {
    // @ts-expect-error: the overloads of Node.js can't be spread
    const isFlushed = super.write(...parameters);
    if (!isFlushed) this.#countUnread(this.writableLength);
    return isFlushed;
  }

  // deno-lint-ignore no-explicit-any -- the overloads of Node.js
  override end(...parameters: any[]): this {
    super.end(...parameters);
    // Otherwise the rest of the body would wait until the answer is read.
    this.req.discardRest();
    this.#countUnread(this.writableLength);
    return this;
  }

  #countUnread(bytes: number): void {
    const change = bytes - this.#bytes;
    if (change === 0) return;
    this.#bytes = bytes;
    this.#connection?.addUnread(change);
  }
}

/** The clients of one listener. */
class ClientGuard {
  readonly #options: GuardOptions;
  readonly #limits: core.clients.ClientLimits;
  readonly #connections = new Set<Connection>();
  readonly #faults = new Map<core.clients.ClientFault, number>();
  #logTimer: NodeJS.Timeout | undefined;
  #bodyBytes = 0;
  #unreadBytes = 0;
  #requestsAhead = 0;
  #isChoosing = false;

  constructor(options: GuardOptions) {
    this.#options = options;
    const { heap_size_limit: heapBytes } = v8.getHeapStatistics();
    this.#limits = core.clients.withinHeap(options.limits, heapBytes);
  }

  add(socket: net.Socket): void {
    this.#makeRoom();
    const connection = new Connection(this, socket);
    connections.set(socket, connection);
    this.#connections.add(connection);
    socket.once("close", () => {
      this.#connections.delete(connection);
      // After Node.js has told the answer that was being sent.
      process.nextTick(() => connection.end());
    });
  }

  admits({ responses }: Connection): boolean {
    const { maxRequestsAhead, maxRequestsAheadInAll } = this.#limits;
    const isAdmitted = responses.size === 0 ||
      (responses.size <= maxRequestsAhead &&
        this.#requestsAhead < maxRequestsAheadInAll);
    if (!isAdmitted) this.recordFault("requests-ahead");
    return isAdmitted;
  }

  addAhead(change: number): void {
    this.#requestsAhead += change;
  }

  addBody(bytes: number): void {
    this.#bodyBytes += bytes;
    if (bytes <= 0 || this.#bodyBytes <= this.#limits.maxBodyBytes) {
      return;
    }
    this.#close(
      "body-bytes",
      core.clients.chooseBody(this.#connections, performance.now()),
    );
  }

  addUnread(bytes: number): void {
    this.#unreadBytes += bytes;
    if (
      bytes <= 0 || this.#unreadBytes <= this.#limits.maxUnreadBytes
    ) {
      return;
    }
    this.#close("unread-bytes", core.clients.chooseReader(this.#connections));
  }

  recordFault(fault: core.clients.ClientFault): void {
    const { name, onFault } = this.#options;
    onFault?.(name, fault);
    this.#faults.set(fault, (this.#faults.get(fault) ?? 0) + 1);
    this.#logTimer ??= setTimeout(() => this.#logFaults(), LOG_INTERVAL_MS)
      .unref();
  }

  /** Answers a request that is malformed or late only if it has not run. */
  handleError(
    error: NodeJS.ErrnoException,
    socket: net.Socket,
    answer: ErrorResponder,
  ): void {
    if (error.code === "ERR_HTTP_REQUEST_TIMEOUT") this.recordFault("timeout");
    const mayHaveRun = connections.get(socket)?.mayHaveRun === true;
    if (mayHaveRun || !socket.writable || error.code === "ECONNRESET") {
      socket.destroy();
    } else {
      answer(error, socket);
    }
  }

  /** Closes a connection before the limit makes the host refuse new ones. */
  #makeRoom(): void {
    const { maxConnections } = this.#limits;
    const crowded = Math.floor(maxConnections * CROWDED_FRACTION);
    if (this.#connections.size < crowded) return;
    const chosen = core.clients.chooseSuperfluous(this.#connections);
    this.#close("connections", chosen);
  }

  #close(
    fault: core.clients.ClientFault,
    connection: Connection | undefined,
  ): void {
    // Closing writes an answer, which is counted as well.
    if (connection === undefined || this.#isChoosing) return;
    this.#isChoosing = true;
    connection.close(fault);
    this.#connections.delete(connection);
    this.#isChoosing = false;
  }

  #logFaults(): void {
    this.#logTimer = undefined;
    for (const [fault, count] of this.#faults) {
      write("closed", { listener: this.#options.name, fault, count });
    }
    this.#faults.clear();
  }
}

/** Answers as Node.js does. */
function answerError(error: NodeJS.ErrnoException, socket: net.Socket): void {
  socket.write(
    `HTTP/1.1 ${errorStatus(error.code)}\r\nConnection: close\r\n\r\n`,
  );
  socket.destroy(error);
}

function errorStatus(code: string | undefined): string {
  switch (code) {
    case "HPE_HEADER_OVERFLOW":
      return "431 Request Header Fields Too Large";
    case "HPE_CHUNK_EXTENSIONS_OVERFLOW":
      return "413 Payload Too Large";
    case "ERR_HTTP_REQUEST_TIMEOUT":
      return "408 Request Timeout";
    default:
      return "400 Bad Request";
  }
}

/**
 * Creates an HTTP server whose clients can't use up this host.
 *
 * @param create creates the server, if not by `http.createServer`
 * @param onError answers a request that is malformed or late
 *
 * @example
 * ```ts
 * const server = createGuardedServer({ name: "callers", limits }, {}, handler);
 * ```
 */
export function createGuardedServer(
  guardOptions: GuardOptions,
  serverOptions: http.ServerOptions,
  listener: http.RequestListener,
  create: CreateServer = http.createServer,
  onError: ErrorResponder = answerError,
): http.Server {
  const { bodyTimeoutMs, maxConnections } = guardOptions.limits;
  const { headersTimeout = HEADERS_TIMEOUT_MS } = serverOptions;
  const guard = new ClientGuard(guardOptions);
  const server = create({
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    ...serverOptions,
    headersTimeout,
    requestTimeout: Math.max(headersTimeout, bodyTimeoutMs),
    IncomingMessage: GuardedRequest,
    // Node.js makes it for requests of the class above only.
    ServerResponse: GuardedResponse as unknown as typeof http.ServerResponse,
  }, listener);
  server.maxConnections = maxConnections;
  // Before the listener of Node.js, which may parse a request at once.
  const event = "setSecureContext" in server
    ? "secureConnection"
    : "connection";
  server.prependListener(event, (socket) => guard.add(socket));
  server.on(
    "clientError",
    (error, socket) => guard.handleError(error, socket as net.Socket, onError),
  );
  return server;
}
