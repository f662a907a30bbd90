/**
 * Requests to backend servers and their answers.
 *
 * `node:http` is the client here, not undici: undici takes a reset for the end
 * of an answer without a length, so that a broken answer would pass for a whole
 * one.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import * as http from "node:http";
import type * as net from "node:net";

/** Longest time to open a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 400;
/** Longest time that a connection stays unused, in milliseconds. */
const IDLE_MS = 2_000;
/** Unused connections that are kept to one server. */
const UNUSED = 8;
/** Largest head of an answer, in bytes. */
const HEAD_BYTES = 32 * 1_024;

/** One request to one server. */
export interface UpstreamRequest {
  /** `IP:PORT`. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Names and values in turn, as they are sent. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  /** Whether a connection may be used that carried other requests. */
  readonly isReusable: boolean;
  readonly signal: AbortSignal;
  /** Time for the answer to begin, in milliseconds; without it, no limit. */
  readonly headTimeoutMs?: number | undefined;
}

/** What became of a request until the head of its answer. */
export type UpstreamResult =
  | {
    readonly kind: "answered";
    readonly status: number;
    readonly message: http.IncomingMessage;
    /** Rejects when the answer broke off, resolves when it was whole. */
    readonly completed: Promise<void>;
    /** Ends the exchange with its connection. */
    cancel(): void;
  }
  /** Nothing was sent: the server did not get the request. */
  | { readonly kind: "not-sent"; readonly reason: string }
  /** Sent without an answer: the server may have run it. */
  | { readonly kind: "no-answer"; readonly reason: string };

const pooled = new http.Agent({
  keepAlive: true,
  keepAliveMsecs: IDLE_MS,
  maxFreeSockets: UNUSED,
  timeout: IDLE_MS,
  scheduling: "lifo",
});

/**
 * Sends a request and waits for the head of its answer.
 *
 * @example
 * ```ts
 * const result = await send({ address: "10.0.0.1:80", method: "GET", ... });
 * ```
 */
export function send(request: UpstreamRequest): Promise<UpstreamResult> {
  return new Promise((resolve) => new Exchange(request, resolve).begin());
}

/** Follows one request to the end of its answer. */
class Exchange {
  readonly #request: UpstreamRequest;
  readonly #resolve: (result: UpstreamResult) => void;
  #client: http.ClientRequest | undefined;
  #connectTimer: NodeJS.Timeout | undefined;
  #headTimer: NodeJS.Timeout | undefined;
  #isConnected = false;
  /** Whether the answer ends with its connection. */
  #needsProbe = false;
  #failure: Error | undefined;
  /** Settles once the end of the connection is known to be no reset. */
  #probe: Promise<void> = Promise.resolve();
  readonly #abort = () => this.#client?.destroy(new Error("cancelled"));

  constructor(
    request: UpstreamRequest,
    resolve: (result: UpstreamResult) => void,
  ) {
    this.#request = request;
    this.#resolve = resolve;
  }

  begin(): void {
    const { address, body, headers, isReusable, method, path, signal } =
      this.#request;
    if (signal.aborted) {
      this.#resolve({ kind: "not-sent", reason: "cancelled" });
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
      maxHeaderSize: HEAD_BYTES,
      agent: isReusable ? pooled : false,
    });
    this.#client = client;
    const { headTimeoutMs } = this.#request;
    if (headTimeoutMs !== undefined) {
      this.#headTimer = setTimeout(
        () => client.destroy(new Error("no answer in time")),
        headTimeoutMs,
      );
    }
    signal.addEventListener("abort", this.#abort);
    client.on("socket", (socket) => this.#onSocket(socket));
    client.on("response", (message) => this.#onResponse(message));
    client.on("error", (error) => this.#onError(error));
    client.on("close", () => this.#onClose());
    client.end(body);
  }

  #onSocket(socket: net.Socket): void {
    socket.setNoDelay(true);
    socket.prependOnceListener("end", () => this.#probeEnd(socket));
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
   * A reset that comes together with the last bytes shows as the usual end of
   * the connection: libuv reports a hang-up after a partial read as such. A
   * write tells them apart; an empty line is no request.
   */
  #probeEnd(socket: net.Socket): void {
    if (!this.#needsProbe || socket.destroyed) return;
    this.#probe = new Promise((resolve) => {
      socket.write("\r\n", (error) => {
        if (error) this.#failure ??= error;
        setImmediate(resolve);
      });
    });
  }

  #onResponse(message: http.IncomingMessage): void {
    clearTimeout(this.#headTimer);
    this.#needsProbe = !isSelfDelimited(message);
    const end = this.#endOf(message);
    // Whoever reads the answer waits for its end; others need not.
    end.catch(() => undefined);
    this.#resolve({
      kind: "answered",
      status: message.statusCode ?? 0,
      message,
      completed: end,
      cancel: () => this.#abort(),
    });
  }

  /** Resolves when the answer is whole, and rejects when it broke off. */
  async #endOf(message: http.IncomingMessage): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      message.on("end", resolve);
      message.on("error", reject);
      message.on("close", () => reject(new Error("the answer broke off")));
    });
    await this.#probe;
    const failure = isSelfDelimited(message) ? undefined : this.#failure;
    if (failure === undefined && message.complete) return;
    throw failure ?? new Error("the answer broke off");
  }

  /** Also called when a reset follows an answer without a length. */
  #onError(error: Error): void {
    this.#failure ??= error;
    const kind = this.#isConnected ? "no-answer" : "not-sent";
    this.#resolve({ kind, reason: error.message });
  }

  #onClose(): void {
    clearTimeout(this.#connectTimer);
    clearTimeout(this.#headTimer);
    this.#request.signal.removeEventListener("abort", this.#abort);
    const kind = this.#isConnected ? "no-answer" : "not-sent";
    this.#resolve({ kind, reason: "the connection was closed" });
  }
}

/**
 * Whether an answer says where it ends, so that what follows is not part.
 *
 * @example
 * ```ts
 * beginStream(response, status, headers, isFramed(message));
 * ```
 */
export function isSelfDelimited({ headers }: http.IncomingMessage): boolean {
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
}
