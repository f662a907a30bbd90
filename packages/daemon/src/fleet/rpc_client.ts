/**
 * Client for JSON-RPC 2.0 calls and response streams between hosts.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import * as jsonRpc from "json-rpc-2.0";
import * as undici from "undici";
import * as bodyEncoding from "./body_encoding.ts";
import * as errors from "./errors.ts";
import * as linkOptions from "./link_options.ts";
import * as rpcServer from "./rpc_server.ts";

/** Timeout for opening a connection to another host, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Idle connections are closed after this time, in milliseconds. */
const KEEP_ALIVE_TIMEOUT_MS = 10_000;
/**
 * Limit of a compressed response's text, in bytes: several times the largest
 * state of a control host.
 */
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;
/** Maximum number of connections to one peer. */
const MAX_CONNECTIONS = 8;

/**
 * Calls methods of other hosts over one connection pool per peer. A call that
 * times out replaces the pool of its peer: an established connection may have
 * stopped delivering data while new connections work.
 *
 * @example
 * ```ts
 * await using client = new RpcClient({ secret });
 * await client.call("127.0.0.1:7001", "fleet.ping", {}, 1_000);
 * ```
 */
export class RpcClient {
  readonly #options: linkOptions.LinkOptions;
  readonly #pools = new Map<string, undici.Pool>();
  readonly #offers = new bodyEncoding.EncodingOffers();
  #nextId = 1;

  constructor(options: linkOptions.LinkOptions) {
    this.#options = options;
  }

  /** Options for connections to the fleet listeners of other hosts. */
  get options(): linkOptions.LinkOptions {
    return this.#options;
  }

  /**
   * Calls `method` at the host with fleet address `peer`.
   *
   * @param signal ends the wait for the response early
   * @throws {errors.Unreachable} no connection could be opened; nothing was sent
   * @throws {errors.OutcomeUnknown} possibly sent, but not answered in time
   * @throws {errors.NotLeader} the peer is not the leader
   * @throws {errors.RemoteError} the peer returned another error
   */
  async call(
    peer: string,
    method: string,
    params: unknown,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<unknown> {
    const request = jsonRpc.createJSONRPCRequest(
      this.#nextId++,
      method,
      params,
    );
    const body = await this.#post(peer, method, request, timeoutMs, signal);
    const response = JSON.parse(body) as jsonRpc.JSONRPCResponse;
    if (jsonRpc.isJSONRPCResponse(response) && response.error === undefined) {
      return response.result;
    }
    throw toCallError(method, peer, response.error);
  }

  /**
   * Opens a streaming response and returns its body.
   *
   * @throws {errors.Unreachable} the peer could not be reached, or refused the
   * request
   */
  async open(
    peer: string,
    path: string,
    body: unknown,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<undici.Dispatcher.ResponseData["body"]> {
    const response = await this.#pool(peer).request({
      path,
      method: "POST",
      headers: this.#headers(),
      body: JSON.stringify(body),
      headersTimeout: timeoutMs,
      bodyTimeout: 0,
      signal,
    }).catch((cause: unknown) => {
      this.#replacePool(peer);
      throw new errors.Unreachable(`fleet${path}`, peer, "no answer", cause);
    });
    if (response.statusCode === 200) return response.body;
    const text = await response.body.text();
    throw new errors.Unreachable(
      `fleet${path}`,
      peer,
      `status ${response.statusCode}: ${text}`,
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  async #post(
    peer: string,
    method: string,
    body: unknown,
    timeoutMs: number,
    cancelSignal: AbortSignal | undefined,
  ): Promise<string> {
    const timeout = AbortSignal.timeout(Math.max(1, Math.ceil(timeoutMs)));
    const signal = cancelSignal === undefined
      ? timeout
      : AbortSignal.any([timeout, cancelSignal]);
    try {
      return await settleBefore(
        signal,
        this.#exchange(peer, method, body, signal),
      );
    } catch (cause) {
      if (cause instanceof errors.RemoteError) throw cause;
      if (cancelSignal?.aborted === true) {
        throw new errors.OutcomeUnknown(method, peer, "cancelled", cause);
      }
      this.#replacePool(peer);
      if (isConnectError(cause)) {
        throw new errors.Unreachable(method, peer, "not reachable", cause);
      }
      throw new errors.OutcomeUnknown(method, peer, "no answer", cause);
    }
  }

  async #exchange(
    peer: string,
    method: string,
    body: unknown,
    signal: AbortSignal,
  ): Promise<string> {
    const { bytes, headers } = this.#offers.encode(
      peer,
      Buffer.from(JSON.stringify(body)),
    );
    const response = await this.#pool(peer).request({
      path: "/rpc",
      method: "POST",
      headers: {
        ...this.#headers(),
        "accept-encoding": bodyEncoding.ENCODING,
        ...headers,
        [rpcServer.METHOD_HEADER]: method,
      },
      body: bytes,
      signal,
    });
    this.#offers.record(peer, response);
    const text = await readBody(response);
    if (response.statusCode === 200) return text;
    throw new errors.RemoteError(
      method,
      peer,
      `status ${response.statusCode}: ${text}`,
      response.statusCode,
    );
  }

  #headers(): Record<string, string> {
    return { "authorization": `Bearer ${this.#options.secret}` };
  }

  #origin(peer: string): string {
    return linkOptions.peerOrigin(this.#options, peer);
  }

  #pool(peer: string): undici.Pool {
    let pool = this.#pools.get(peer);
    if (pool === undefined) {
      pool = new undici.Pool(this.#origin(peer), {
        ...linkOptions.connectOptions(this.#options, CONNECT_TIMEOUT_MS),
        connections: MAX_CONNECTIONS,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      this.#pools.set(peer, pool);
    }
    return pool;
  }

  /** Closes the pool once its calls end; later calls open new connections. */
  #replacePool(peer: string): void {
    const pool = this.#pools.get(peer);
    this.#pools.delete(peer);
    this.#offers.forget(peer);
    pool?.close().catch(() => undefined);
  }
}

/**
 * Rejects once the signal is aborted. undici looks at the signal of a request
 * only when the request is on a connection, and drops it then.
 */
async function settleBefore<T>(
  signal: AbortSignal,
  exchange: Promise<T>,
): Promise<T> {
  signal.throwIfAborted();
  let onAbort = () => {};
  const aborted = new Promise<never>((_resolve, reject) => {
    onAbort = () => reject(signal.reason);
    signal.addEventListener("abort", onAbort);
  });
  // Its outcome is not used any more if the signal is aborted first.
  exchange.catch(() => undefined);
  try {
    return await Promise.race([exchange, aborted]);
  } finally {
    signal.removeEventListener("abort", onAbort);
  }
}

function isConnectError(cause: unknown): boolean {
  if (cause instanceof undici.errors.ConnectTimeoutError) return true;
  const code = (cause as { code?: unknown } | null)?.code;
  return code === "ECONNREFUSED" || code === "EHOSTUNREACH" ||
    code === "ENETUNREACH";
}

function toCallError(
  method: string,
  peer: string,
  error: jsonRpc.JSONRPCError | undefined,
): Error {
  const message = error?.message ?? "the response is not a JSON-RPC response";
  const code = error?.code ?? jsonRpc.JSONRPCErrorCode.InternalError;
  if (code === errors.NOT_LEADER_CODE) {
    const data = error?.data as { leader?: unknown } | undefined;
    const leader = typeof data?.leader === "string" ? data.leader : null;
    return new errors.NotLeader(method, peer, leader);
  }
  if (code === errors.OUTCOME_UNKNOWN_CODE) {
    return new errors.OutcomeUnknown(method, peer, message);
  }
  return new errors.RemoteError(method, peer, message, code);
}

async function readBody(
  { body, headers }: undici.Dispatcher.ResponseData,
): Promise<string> {
  const encoding = headers["content-encoding"]?.toString();
  return bodyEncoding.decodeBody(
    Buffer.from(await body.arrayBuffer()),
    encoding,
    MAX_RESPONSE_BYTES,
  );
}
