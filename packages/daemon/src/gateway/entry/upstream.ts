/**
 * HTTP client for requests to backend servers.
 *
 * `node:http` is the client here, not undici: undici treats a connection reset
 * as the end of a response without a length, so that an incomplete response
 * would pass for a complete one.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import * as http from "node:http";
import type * as net from "node:net";
import { gateway } from "@ebonypath/protocol";
import * as v from "valibot";
import * as guardedAgent from "../guarded_agent.ts";

/** Time limit for opening a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 400;
/** Time after which an idle connection is closed, in milliseconds. */
const IDLE_TIMEOUT_MS = 2_000;
/** Idle connections that are kept open to each server. */
const MAX_IDLE_CONNECTIONS = 8;
/** Limit of a response's head, in bytes. */
const MAX_HEAD_BYTES = 32 * 1_024;
/** Limit of a response's head with all interim responses before it, in bytes. */
const MAX_BYTES_BEFORE_BODY = 4 * MAX_HEAD_BYTES;

/** A request to a backend server. */
export interface UpstreamRequest {
  /** `IP:PORT`. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values, as they are sent. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  /** Whether a connection may be used that carried other requests. */
  readonly isReusable: boolean;
  readonly signal: AbortSignal;
  /** Time limit for the response to start, in milliseconds; none if absent. */
  readonly headTimeoutMs?: number | undefined;
}

/** Result of a request when the head of its response arrives, or fails to. */
export type UpstreamResult =
  | {
    readonly kind: "answered";
    readonly status: number;
    readonly message: http.IncomingMessage;
    /** Whether its connection carried other requests before. */
    readonly isConnectionReused: boolean;
    /** Resolves when the response is complete, rejects if it is cut short. */
    readonly completed: Promise<void>;
    /**
     * Lets the connection be used again after this response. Bytes that a server
     * sends too late are only recognized by the request id that they bear, so
     * this is for responses with their own.
     */
    keepConnection(): void;
    /** Aborts the request and closes its connection. */
    cancel(): void;
  }
  /** Nothing was sent: the server has not received the request. */
  | { readonly kind: "not-sent"; readonly reason: string }
  /** Sent, but no response arrived: the server may have run it. */
  | {
    readonly kind: "no-answer";
    readonly reason: string;
    /** Whether this host gave up waiting, rather than lost the connection. */
    readonly isTimeout: boolean;
  };

const keepAliveAgent = new guardedAgent.GuardedAgent({
  keepAlive: true,
  keepAliveMsecs: IDLE_TIMEOUT_MS,
  maxFreeSockets: MAX_IDLE_CONNECTIONS,
  timeout: IDLE_TIMEOUT_MS,
  scheduling: "lifo",
});
const singleUseAgent = new guardedAgent.GuardedAgent();

/**
 * Sends a request and waits for the head of its response.
 *
 * @example
 * ```ts
 * const result = await send({ address: "10.0.0.1:80", method: "GET", ... });
 * ```
 */
export function send(request: UpstreamRequest): Promise<UpstreamResult> {
  return new Promise((resolve) => new Exchange(request, resolve).start());
}

/** One request and its response. */
class Exchange {
  readonly #request: UpstreamRequest;
  readonly #resolve: (result: UpstreamResult) => void;
  #client: http.ClientRequest | undefined;
  #connectTimer: NodeJS.Timeout | undefined;
  #headTimer: NodeJS.Timeout | undefined;
  #isConnected = false;
  #isTimeout = false;
  /** Whether the response is delimited by the end of its connection. */
  #isCloseDelimited = false;
  #failure: Error | undefined;
  /** Resolves when it is known whether the connection ended by a reset. */
  #resetProbe: Promise<void> = Promise.resolve();
  /** Removes the limit of what precedes the response's body. */
  #endHeadLimit: () => void = () => {};
  /** Removes what listens for the end of the connection. */
  #stopResetProbe: () => void = () => {};
  readonly #cancel = () => this.#client?.destroy(new Error("cancelled"));

  constructor(
    request: UpstreamRequest,
    resolve: (result: UpstreamResult) => void,
  ) {
    this.#request = request;
    this.#resolve = resolve;
  }

  start(): void {
    const { address, body, headers, isReusable, method, path, signal } =
      this.#request;
    if (signal.aborted) {
      this.#resolve({ kind: "not-sent", reason: "cancelled" });
      return;
    }
    // `http.request` throws for a port out of range.
    if (!v.is(gateway.Address, address)) {
      this.#resolve({ kind: "not-sent", reason: `no address: ${address}` });
      return;
    }
    const separator = address.lastIndexOf(":");
    const client = http.request({
      host: address.slice(0, separator),
      port: address.slice(separator + 1),
      method,
      path,
      headers,
      setHost: false,
      maxHeaderSize: MAX_HEAD_BYTES,
      agent: isReusable ? keepAliveAgent : singleUseAgent,
    });
    this.#client = client;
    const { headTimeoutMs } = this.#request;
    if (headTimeoutMs !== undefined) {
      this.#headTimer = setTimeout(() => {
        this.#isTimeout = true;
        client.destroy(new Error("no answer in time"));
      }, headTimeoutMs);
    }
    signal.addEventListener("abort", this.#cancel);
    client.on("socket", (socket) => this.#onSocket(socket));
    guardedAgent.limitInterimResponses(client);
    client.on("response", (message) => this.#onResponse(message));
    client.on("error", (error) => this.#onError(error));
    client.on("close", () => this.#onClose());
    client.end(body);
  }

  #onSocket(socket: net.Socket): void {
    socket.setNoDelay(true);
    this.#limitHead(socket);
    const onEnd = () => this.#probeForReset(socket);
    socket.prependOnceListener("end", onEnd);
    this.#stopResetProbe = () => socket.off("end", onEnd);
    if (!socket.connecting) {
      this.#isConnected = true;
      return;
    }
    this.#connectTimer = setTimeout(
      () => this.#client?.destroy(new Error("no connection in time")),
      CONNECT_TIMEOUT_MS,
    );
    socket.once("connect", () => {
      this.#isConnected = true;
      clearTimeout(this.#connectTimer);
    });
  }

  /**
   * Writes to the socket to find out whether the connection ended by a reset. A
   * reset that arrives with the last bytes looks like a normal end, because
   * libuv reports a hang-up after a partial read as one; a write then fails. An
   * empty line does not start a request.
   */
  #probeForReset(socket: net.Socket): void {
    if (!this.#isCloseDelimited || socket.destroyed) return;
    this.#resetProbe = new Promise((resolve) => {
      socket.write("\r\n", (error) => {
        if (error) this.#failure ??= error;
        setImmediate(resolve);
      });
    });
  }

  #onResponse(message: http.IncomingMessage): void {
    clearTimeout(this.#headTimer);
    this.#endHeadLimit();
    this.#isCloseDelimited = !isSelfDelimited(message);
    const mayKeepConnection = this.#client?.shouldKeepAlive ?? false;
    this.#setKeepConnection(false);
    const completed = this.#waitForCompletion(message);
    // Avoids an unhandled rejection where the response's body is not read.
    completed.catch(() => undefined);
    this.#resolve({
      kind: "answered",
      status: message.statusCode ?? 0,
      message,
      isConnectionReused: this.#client?.reusedSocket ?? false,
      completed,
      keepConnection: () => this.#setKeepConnection(mayKeepConnection),
      cancel: () => this.#cancel(),
    });
  }

  /**
   * Closes the connection when a server sends more than a head without
   * completing one, for instance interim responses or empty lines without end.
   */
  #limitHead(socket: net.Socket): void {
    let bytes = 0;
    const onData = (data: Buffer) => {
      bytes += data.length;
      if (bytes <= MAX_BYTES_BEFORE_BODY) return;
      this.#client?.destroy(new Error("the response's head does not end"));
    };
    socket.on("data", onData);
    this.#endHeadLimit = () => socket.off("data", onData);
  }

  #setKeepConnection(isKept: boolean): void {
    if (this.#client !== undefined) this.#client.shouldKeepAlive = isKept;
  }

  /** Resolves when the response is complete, rejects if it is cut short. */
  async #waitForCompletion(message: http.IncomingMessage): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      message.on("end", resolve);
      message.on("error", reject);
      message.on("close", () => reject(new Error("the answer broke off")));
    });
    await this.#resetProbe;
    const failure = isSelfDelimited(message) ? undefined : this.#failure;
    if (failure === undefined && message.complete) return;
    throw failure ?? new Error("the answer broke off");
  }

  /** Also called when a reset follows a close-delimited response. */
  #onError(error: Error): void {
    this.#failure ??= error;
    this.#fail(error.message);
  }

  #onClose(): void {
    clearTimeout(this.#connectTimer);
    clearTimeout(this.#headTimer);
    this.#endHeadLimit();
    this.#stopResetProbe();
    this.#request.signal.removeEventListener("abort", this.#cancel);
    this.#fail("the connection was closed");
  }

  #fail(reason: string): void {
    this.#resolve(
      this.#isConnected
        ? { kind: "no-answer", reason, isTimeout: this.#isTimeout }
        : { kind: "not-sent", reason },
    );
  }
}

/**
 * Whether a response marks the end of its body by a length or by chunks, rather
 * than by the end of its connection. Bytes after that end are not part of it.
 *
 * @example
 * ```ts
 * startStream(response, status, headers, isSelfDelimited(message));
 * ```
 */
export function isSelfDelimited({ headers }: http.IncomingMessage): boolean {
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
}
