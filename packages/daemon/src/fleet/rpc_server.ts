/**
 * Server for JSON-RPC 2.0 calls between hosts (`POST /rpc` on the fleet
 * listener) and for response streams.
 *
 * @module
 */
import type * as http from "node:http";
import { Buffer } from "node:buffer";
import * as jsonRpc from "json-rpc-2.0";
import * as v from "valibot";
import * as httpBody from "../http_body/mod.ts";
import * as security from "../security/mod.ts";
import * as log from "../log/mod.ts";
import * as bodyEncoding from "./body_encoding.ts";
import * as errors from "./errors.ts";

const write = log.createLog("rpc");

/** Maximum size of a request body, in bytes. */
const MAX_REQUEST_BYTES = 16 * 1024 * 1024;

/**
 * Request header with the name of the called method, so that a call can be
 * refused before its body is read.
 */
export const METHOD_HEADER = "x-rpc-method";

/** Why a host can't handle the calls of a leader. */
export interface NotLeading {
  /** Fleet address of the leader; null if it is not known. */
  readonly leader: string | null;
}

/** Implements one method; `params` has been validated by the method's schema. */
export type Method<Params> = (params: Params) => unknown;

/** Calls that a server has received since they were counted last. */
export interface CallCounts {
  readonly calls: number;
  /** Calls that were refused because this host does not lead, by method. */
  readonly refused: ReadonlyMap<string, number>;
  /** Size of the bodies that were read, in bytes. */
  readonly bytes: number;
}

/** Writes a streaming response; it owns the response once called. */
export type StreamHandler = (
  body: unknown,
  response: http.ServerResponse,
) => void;

/** Authenticates requests of other hosts and dispatches them to typed methods. */
export class RpcServer {
  readonly #secret: string;
  readonly #server = new jsonRpc.JSONRPCServer({
    errorListener: () => undefined,
  });
  readonly #streams = new Map<string, StreamHandler>();
  readonly #leaderGuards = new Map<string, () => NotLeading | undefined>();
  #calls = 0;
  #refused = new Map<string, number>();
  #bytes = 0;

  constructor(secret: string) {
    this.#secret = secret;
    this.#server.mapErrorToJSONRPCErrorResponse = toErrorResponse;
  }

  /**
   * Registers a method whose parameters are validated by `schema`.
   *
   * @example
   * ```ts
   * server.addMethod("fleet.ping", v.object({}), () => "pong");
   * ```
   */
  addMethod<Schema extends v.GenericSchema>(
    name: string,
    schema: Schema,
    method: Method<v.InferOutput<Schema>>,
  ): void {
    this.#server.addMethod(name, (params: unknown) => {
      const parsed = v.safeParse(schema, params);
      if (!parsed.success) {
        const issue = parsed.issues[0];
        const path = v.getDotPath(issue) ?? "params";
        throw new jsonRpc.JSONRPCErrorException(
          `${path}: ${issue.message}`,
          jsonRpc.JSONRPCErrorCode.InvalidParams,
        );
      }
      return method(parsed.output);
    });
  }

  /**
   * Refuses calls of methods that only a leader handles before their bodies are
   * read. Hosts without a leader try all control hosts, some with large bodies.
   *
   * @param guard returns undefined while this host leads
   */
  addLeaderGuard(
    methods: readonly string[],
    guard: () => NotLeading | undefined,
  ): void {
    for (const method of methods) this.#leaderGuards.set(method, guard);
  }

  /** Returns the counts of calls, and starts to count anew. */
  takeCounts(): CallCounts {
    const counts = {
      calls: this.#calls,
      refused: this.#refused,
      bytes: this.#bytes,
    };
    this.#calls = 0;
    this.#refused = new Map();
    this.#bytes = 0;
    return counts;
  }

  /** Registers a path with a streaming response, for instance the feed. */
  addStream(path: string, handler: StreamHandler): void {
    this.#streams.set(path, handler);
  }

  /**
   * Handles one HTTP request of the fleet listener. A request whose connection
   * is lost before it is complete is logged and gets no response.
   */
  async handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const token = security.bearerToken(request.headers.authorization);
    if (token === null || !security.equalSecrets(token, this.#secret)) {
      return sendJson(response, 401, {
        error: "the fleet's secret is required",
      });
    }
    const path = request.url ?? "/";
    const stream = this.#streams.get(path);
    if (request.method !== "POST" || (path !== "/rpc" && !stream)) {
      return sendJson(response, 404, { error: "no such path" });
    }
    this.#calls += 1;
    const method = request.headers[METHOD_HEADER];
    const refusal = typeof method === "string"
      ? this.#leaderGuards.get(method)?.()
      : undefined;
    if (refusal !== undefined) {
      this.#countRefusal(String(method));
      // Node.js drops the rest of the body when the response has ended.
      return sendJson(response, 200, refuse(refusal));
    }
    const body = await readJson(request);
    if (body === "lost") {
      write("connection-lost", { peer: request.socket.remoteAddress });
      response.destroy();
      return;
    }
    if (body === undefined) {
      return sendJson(response, 400, { error: "the body is not JSON" });
    }
    if (stream) return stream(body, response);
    const call = body as jsonRpc.JSONRPCRequest;
    this.#bytes += Number(request.headers["content-length"] ?? 0);
    const rpcResponse = await this.#server.receive(call);
    if (rpcResponse?.error?.code === errors.NOT_LEADER_CODE) {
      this.#countRefusal(call.method);
    }
    offerEncoding(request, response);
    if (rpcResponse === null) return sendJson(response, 204, undefined);
    sendJson(
      response,
      200,
      rpcResponse,
      bodyEncoding.acceptsEncoding(request.headers),
    );
  }

  #countRefusal(method: string): void {
    this.#refused.set(method, (this.#refused.get(method) ?? 0) + 1);
  }
}

/**
 * Tells a client that its requests may be compressed. Only large requests that
 * are not are answered so: the header would be most of a small answer.
 */
function offerEncoding(
  { headers }: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  const isCompressed = headers["content-encoding"] !== undefined;
  const bytes = Number(headers["content-length"] ?? 0);
  if (isCompressed || bytes < bodyEncoding.MIN_COMPRESSED_BYTES) return;
  response.setHeader("accept-encoding", bodyEncoding.ENCODING);
}

/** The id of the call is not known: it is in the body. */
function refuse({ leader }: NotLeading): jsonRpc.JSONRPCErrorResponse {
  return jsonRpc.createJSONRPCErrorResponse(
    null,
    errors.NOT_LEADER_CODE,
    "not the leader",
    { leader },
  );
}

function toErrorResponse(
  id: jsonRpc.JSONRPCID,
  error: unknown,
): jsonRpc.JSONRPCErrorResponse {
  if (error instanceof errors.NotLeader) {
    return jsonRpc.createJSONRPCErrorResponse(
      id,
      errors.NOT_LEADER_CODE,
      error.message,
      { leader: error.leader },
    );
  }
  if (error instanceof errors.OutcomeUnknown) {
    return jsonRpc.createJSONRPCErrorResponse(
      id,
      errors.OUTCOME_UNKNOWN_CODE,
      error.message,
    );
  }
  const code = error instanceof jsonRpc.JSONRPCErrorException
    ? error.code
    : jsonRpc.JSONRPCErrorCode.InternalError;
  const message = error instanceof Error ? error.message : String(error);
  return jsonRpc.createJSONRPCErrorResponse(id, code, message);
}

/**
 * Parses the request body; returns undefined if it is too large or not JSON, and
 * "lost" if the connection ends before the body is complete.
 */
async function readJson(
  request: http.IncomingMessage,
): Promise<unknown | "lost"> {
  const body = await httpBody.collectBody(request, MAX_REQUEST_BYTES);
  if (body === "broken") return "lost";
  if (body === "too-large") return undefined;
  try {
    const text = bodyEncoding.decodeBody(
      body,
      request.headers["content-encoding"],
      MAX_REQUEST_BYTES,
    );
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/**
 * Sends a JSON response without the optional headers, which would be larger
 * than most response bodies.
 */
function sendJson(
  response: http.ServerResponse,
  status: number,
  body: unknown,
  isEncodingAccepted = false,
): void {
  response.sendDate = false;
  // HTTP/1.1 connections are persistent by default, and the clients close idle
  // connections before the server does.
  response.removeHeader("connection");
  if (body === undefined) {
    response.writeHead(status).end();
    return;
  }
  const { bytes, headers } = bodyEncoding.encodeBody(
    Buffer.from(JSON.stringify(body)),
    isEncodingAccepted,
  );
  response.writeHead(status, {
    "content-length": bytes.length,
    ...headers,
  });
  response.end(bytes);
}
