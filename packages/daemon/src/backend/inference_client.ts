/**
 * Client that sends the requests of callers to backend servers.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { errors } from "@ebonypath/protocol";
import type * as undici from "undici";
import * as connections from "./connections.ts";
import * as exchange from "./exchange.ts";
import * as headers from "./headers.ts";
import type * as types from "./types.ts";

/** Length after which the body of a refusal is no longer read. */
const MAX_REFUSAL_BYTES = 16 * 1_024;
/** Default timeout for a probe, in milliseconds. */
const PROBE_TIMEOUT_MS = 1_000;
/** Code of a refusal whose body contains none. */
const DEFAULT_REFUSAL_CODE = "refused";

/** Sends requests over pooled or dedicated connections. */
export class InferenceClient {
  readonly #pool = new connections.ConnectionPool();

  /**
   * Sends a request once, without retries. Resolves when the response headers
   * arrive or the request fails. Never rejects.
   *
   * @example
   * ```ts
   * const dispatch = await client.dispatch(request);
   * if (dispatch.kind === "failed" && !dispatch.bytesSent) retryElsewhere();
   * ```
   */
  async dispatch(request: types.DispatchRequest): Promise<types.Dispatch> {
    const { address } = request.server;
    const connection = request.dedicatedConnection
      ? createDedicatedConnection(address)
      : this.#pool.acquire(address);
    const handler = new exchange.Exchange({
      peer: request.server.id,
      method: request.method,
      requestId: request.requestId,
      requiresRequestId: request.requiresRequestId,
      isConnectionReused: connection.isReused,
      firstByteTimeoutMs: request.firstByteTimeoutMs,
      idleTimeoutMs: request.idleTimeoutMs,
      signal: request.signal,
      ...request.onServerClose === undefined
        ? {}
        : { onServerClose: request.onServerClose },
      onClose: (isComplete) => connection.release(isComplete),
    });
    startExchange(connection.client, handler, {
      method: request.method as undici.Dispatcher.HttpMethod,
      path: request.path,
      headers: buildRequestHeaders(request),
      body: request.body ?? null,
      reset: request.dedicatedConnection,
    });
    const result = await handler.result;
    if (result.kind === "failed" || !isNotStarted(result)) return result;
    return await readRefusal(result);
  }

  /**
   * Checks on a new connection whether a server is alive. Distinguishes a dead
   * server from a connection whose state a middlebox has lost.
   *
   * @example
   * ```ts
   * const probe = await client.probe(server);
   * if (probe.kind === "alive") client.retireConnections(server);
   * ```
   */
  async probe(
    server: types.Server,
    timeoutMs = PROBE_TIMEOUT_MS,
  ): Promise<types.Probe> {
    const client = connections.createClient(server.address);
    try {
      const response = await client.request({
        method: "GET",
        path: "/livez",
        signal: AbortSignal.timeout(timeoutMs),
        reset: true,
      });
      await response.body.dump();
      return { kind: "alive" };
    } catch (cause) {
      const message = (cause as Error).message;
      const error = new errors.StepError("probe", server.id, message, cause);
      return { kind: "dead", error };
    } finally {
      await client.destroy();
    }
  }

  /** Makes later requests to a server use new connections. */
  retireConnections(server: types.Server): void {
    this.#pool.retire(server.address);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#pool[Symbol.asyncDispose]();
  }
}

/** Dispatches a request. If the dispatcher throws, the exchange fails. */
export function startExchange(
  dispatcher: undici.Dispatcher,
  handler: exchange.Exchange,
  options: undici.Dispatcher.DispatchOptions,
): void {
  try {
    const trackingOptions: connections.SocketTrackingOptions = {
      ...options,
      setSocketProvider: (getSocket) => handler.setSocketProvider(getSocket),
    };
    dispatcher.dispatch(trackingOptions, handler);
  } catch (error) {
    handler.failBeforeConnection(error as Error);
  }
}

/** Creates a connection outside the pool for a single request. */
function createDedicatedConnection(
  origin: string,
): connections.PooledConnection {
  const client = connections.createClient(origin);
  return {
    client,
    isReused: false,
    release: (isComplete) => connections.closeClient(client, isComplete),
  };
}

function buildRequestHeaders(request: types.DispatchRequest): headers.Headers {
  return {
    ...headers.filterRequestHeaders(request.headers),
    [headers.REQUEST_ID_HEADER]: request.requestId,
    [headers.PRIORITY_HEADER]: String(request.priority),
  };
}

function isNotStarted(response: types.ServerResponse): boolean {
  return response.status >= 400 &&
    response.headers[headers.NOT_STARTED_HEADER] === "true";
}

async function readRefusal(
  response: types.ServerResponse,
): Promise<types.ServerRefusal> {
  const { status } = response;
  let text = "";
  try {
    for await (const chunk of response.body) {
      text += (chunk as Buffer).toString("utf8");
      if (text.length > MAX_REFUSAL_BYTES) break;
    }
    const parsed = JSON.parse(text) as { error?: { code?: unknown } };
    const code = parsed.error?.code;
    return {
      kind: "refused",
      status,
      code: typeof code === "string" ? code : DEFAULT_REFUSAL_CODE,
    };
  } catch {
    return { kind: "refused", status, code: DEFAULT_REFUSAL_CODE };
  }
}
