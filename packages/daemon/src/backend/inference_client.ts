/**
 * Sends requests of callers to backend servers.
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

/** Most bytes read of a refusal. */
const REFUSAL_BYTES = 16 * 1_024;
/** Longest wait for the answer to a probe, in milliseconds. */
const PROBE_TIMEOUT_MS = 1_000;
/** Reason of a refusal that names none. */
const UNKNOWN_CODE = "refused";

/** Dispatches requests over kept or fresh connections. */
export class InferenceClient {
  readonly #connections = new connections.Connections();

  /**
   * Sends a request once and returns as soon as the head of the answer is
   * there, or when it is clear that none will come. Never rejects.
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
      ? freshConnection(address)
      : this.#connections.acquire(address);
    const handler = new exchange.Exchange({
      peer: request.server.id,
      method: request.method,
      requestId: request.requestId,
      requiresRequestId: request.requiresRequestId,
      firstByteTimeoutMs: request.firstByteTimeoutMs,
      idleTimeoutMs: request.idleTimeoutMs,
      signal: request.signal,
      ...request.onServerClose === undefined
        ? {}
        : { onHungUp: request.onServerClose },
      onClose: (isWhole) => connection.release(isWhole),
    });
    start(connection.client, handler, {
      method: request.method as undici.Dispatcher.HttpMethod,
      path: request.path,
      headers: outgoingHeaders(request),
      body: request.body ?? null,
      reset: request.dedicatedConnection,
    });
    const result = await handler.result;
    if (result.kind === "failed" || !saysNotStarted(result)) return result;
    return await readRefusal(result);
  }

  /**
   * Asks on a new connection whether a server lives. Tells a dead server from
   * a connection that something in between has lost track of.
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
    const client = connections.freshClient(server.address);
    try {
      const answer = await client.request({
        method: "GET",
        path: "/livez",
        signal: AbortSignal.timeout(timeoutMs),
        reset: true,
      });
      await answer.body.dump();
      return { kind: "alive" };
    } catch (cause) {
      const message = (cause as Error).message;
      const error = new errors.StepError("probe", server.id, message, cause);
      return { kind: "dead", error };
    } finally {
      await client.destroy();
    }
  }

  /** Uses new connections for later requests to a server. */
  retireConnections(server: types.Server): void {
    this.#connections.retire(server.address);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#connections[Symbol.asyncDispose]();
  }
}

/** Hands a request to a dispatcher; a refused hand-over fails the exchange. */
export function start(
  dispatcher: undici.Dispatcher,
  handler: exchange.Exchange,
  options: undici.Dispatcher.DispatchOptions,
): void {
  try {
    const tracked: connections.TrackedOptions = {
      ...options,
      useSocket: (socketOf) => handler.useSocket(socketOf),
    };
    dispatcher.dispatch(tracked, handler);
  } catch (error) {
    handler.failToConnect(error as Error);
  }
}

/** A connection for one request alone. */
function freshConnection(origin: string): connections.Connection {
  const client = connections.freshClient(origin);
  return {
    client,
    release: (isWhole) => connections.closeClient(client, isWhole),
  };
}

function outgoingHeaders(request: types.DispatchRequest): headers.Headers {
  return {
    ...headers.requestHeaders(request.headers),
    [headers.REQUEST_ID_HEADER]: request.requestId,
    [headers.PRIORITY_HEADER]: String(request.priority),
  };
}

function saysNotStarted(answer: types.ServerResponse): boolean {
  return answer.status >= 400 &&
    answer.headers[headers.NOT_STARTED_HEADER] === "true";
}

async function readRefusal(
  answer: types.ServerResponse,
): Promise<types.ServerRefusal> {
  const { status } = answer;
  let text = "";
  try {
    for await (const chunk of answer.body) {
      text += (chunk as Buffer).toString("utf8");
      if (text.length > REFUSAL_BYTES) break;
    }
    const parsed = JSON.parse(text) as { error?: { code?: unknown } };
    const code = parsed.error?.code;
    return {
      kind: "refused",
      status,
      code: typeof code === "string" ? code : UNKNOWN_CODE,
    };
  } catch {
    return { kind: "refused", status, code: UNKNOWN_CODE };
  }
}
