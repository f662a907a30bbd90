/**
 * The client side of JSON-RPC 2.0 between hosts.
 *
 * @module
 */
import * as jsonRpc from "json-rpc-2.0";
import * as undici from "undici";
import * as errors from "./errors.ts";
import * as linkOptions from "./link_options.ts";

/** Longest wait for a TCP connection to another host, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Idle connections are closed after this time, in milliseconds. */
const KEEP_ALIVE_MS = 10_000;
/** Connections to one peer. */
const CONNECTIONS = 8;

/**
 * Calls methods of other hosts. A call that misses its deadline drops all
 * connections to that peer: an open connection may have gone silent while new
 * ones work.
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
  #nextId = 1;

  constructor(options: linkOptions.LinkOptions) {
    this.#options = options;
  }

  /** How to reach the fleet listeners of other hosts. */
  get options(): linkOptions.LinkOptions {
    return this.#options;
  }

  /**
   * Calls `method` at the host with fleet address `peer`.
   *
   * @throws {errors.Unreachable} nothing was sent
   * @throws {errors.OutcomeUnknown} sent, but not answered in time
   * @throws {errors.NotLeader} the peer does not lead
   * @throws {errors.RemoteError} the peer answered with another error
   */
  async call(
    peer: string,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    const request = jsonRpc.createJSONRPCRequest(
      this.#nextId++,
      method,
      params,
    );
    const body = await this.#post(peer, method, "/rpc", request, timeoutMs);
    const answer = JSON.parse(body) as jsonRpc.JSONRPCResponse;
    if (jsonRpc.isJSONRPCResponse(answer) && answer.error === undefined) {
      return answer.result;
    }
    throw toError(method, peer, answer.error);
  }

  /**
   * Opens a long response and returns its body.
   *
   * @throws {errors.Unreachable} the peer could not be reached or refused
   */
  async open(
    peer: string,
    path: string,
    body: unknown,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<undici.Dispatcher.ResponseData["body"]> {
    const answer = await undici.request(`${this.#origin(peer)}${path}`, {
      method: "POST",
      headers: this.#headers(),
      body: JSON.stringify(body),
      headersTimeout: timeoutMs,
      bodyTimeout: 0,
      signal,
      dispatcher: this.#pool(peer),
    }).catch((cause: unknown) => {
      this.#drop(peer);
      throw new errors.Unreachable(`fleet${path}`, peer, "no answer", cause);
    });
    if (answer.statusCode === 200) return answer.body;
    const text = await answer.body.text();
    throw new errors.Unreachable(
      `fleet${path}`,
      peer,
      `status ${answer.statusCode}: ${text}`,
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
    path: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<string> {
    const signal = AbortSignal.timeout(Math.max(1, Math.ceil(timeoutMs)));
    try {
      const answer = await this.#pool(peer).request({
        path,
        method: "POST",
        headers: this.#headers(),
        body: JSON.stringify(body),
        signal,
      });
      const text = await answer.body.text();
      if (answer.statusCode === 200) return text;
      throw new errors.RemoteError(
        method,
        peer,
        `status ${answer.statusCode}: ${text}`,
        answer.statusCode,
      );
    } catch (cause) {
      if (cause instanceof errors.RemoteError) throw cause;
      this.#drop(peer);
      if (isConnectFailure(cause)) {
        throw new errors.Unreachable(method, peer, "not reachable", cause);
      }
      throw new errors.OutcomeUnknown(method, peer, "no answer", cause);
    }
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
        connections: CONNECTIONS,
        keepAliveTimeout: KEEP_ALIVE_MS,
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      this.#pools.set(peer, pool);
    }
    return pool;
  }

  /** Lets calls in flight end, but opens new connections for later ones. */
  #drop(peer: string): void {
    const pool = this.#pools.get(peer);
    this.#pools.delete(peer);
    pool?.close().catch(() => undefined);
  }
}

function isConnectFailure(cause: unknown): boolean {
  if (cause instanceof undici.errors.ConnectTimeoutError) return true;
  const code = (cause as { code?: unknown } | null)?.code;
  return code === "ECONNREFUSED" || code === "EHOSTUNREACH" ||
    code === "ENETUNREACH";
}

function toError(
  method: string,
  peer: string,
  error: jsonRpc.JSONRPCError | undefined,
): Error {
  const message = error?.message ?? "the answer is not JSON-RPC";
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
