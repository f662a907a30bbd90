/**
 * The server side of JSON-RPC 2.0 between hosts: `POST /rpc` on the fleet
 * listener.
 *
 * @module
 */
import type * as http from "node:http";
import { Buffer } from "node:buffer";
import * as jsonRpc from "json-rpc-2.0";
import * as v from "valibot";
import * as security from "../security/mod.ts";
import * as errors from "./errors.ts";

/** Largest accepted request, in bytes. */
const MAX_REQUEST_BYTES = 16 * 1024 * 1024;

/** Answers one method; `params` has passed the method's schema. */
export type Method<Params> = (params: Params) => unknown;

/** A long response that takes over the HTTP exchange. */
export type StreamHandler = (
  body: unknown,
  response: http.ServerResponse,
) => void;

/** Dispatches authenticated calls of other hosts to typed methods. */
export class RpcServer {
  readonly #secret: string;
  readonly #server = new jsonRpc.JSONRPCServer({
    errorListener: () => undefined,
  });
  readonly #streams = new Map<string, StreamHandler>();

  constructor(secret: string) {
    this.#secret = secret;
    this.#server.mapErrorToJSONRPCErrorResponse = toErrorResponse;
  }

  /**
   * Adds a method whose parameters are checked against `schema`.
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

  /** Adds a path whose response stays open, for instance the feed. */
  addStream(path: string, handler: StreamHandler): void {
    this.#streams.set(path, handler);
  }

  /** Handles one HTTP request on the fleet listener. */
  async handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const token = security.bearerToken(request.headers.authorization);
    if (token === null || !security.equalSecrets(token, this.#secret)) {
      return end(response, 401, { error: "the fleet's secret is required" });
    }
    const path = request.url ?? "/";
    const stream = this.#streams.get(path);
    if (request.method !== "POST" || (path !== "/rpc" && !stream)) {
      return end(response, 404, { error: "no such path" });
    }
    const body = await readJson(request);
    if (body === undefined) {
      return end(response, 400, { error: "the body is not JSON" });
    }
    if (stream) return stream(body, response);
    const answer = await this.#server.receive(
      body as jsonRpc.JSONRPCRequest,
    );
    if (answer === null) return end(response, 204, undefined);
    end(response, 200, answer);
  }
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

async function readJson(request: http.IncomingMessage): Promise<unknown> {
  const parts: Buffer[] = [];
  let bytes = 0;
  for await (const part of request) {
    bytes += (part as Buffer).length;
    if (bytes > MAX_REQUEST_BYTES) return undefined;
    parts.push(part as Buffer);
  }
  try {
    return JSON.parse(Buffer.concat(parts).toString("utf8"));
  } catch {
    return undefined;
  }
}

/** Ends a response with few headers: most answers are shorter than theirs. */
function end(
  response: http.ServerResponse,
  status: number,
  body: unknown,
): void {
  response.sendDate = false;
  // Connections are kept alive by default, and clients close idle ones first.
  response.removeHeader("connection");
  if (body === undefined) {
    response.writeHead(status).end();
    return;
  }
  const text = JSON.stringify(body);
  response.writeHead(status, { "content-length": Buffer.byteLength(text) });
  response.end(text);
}
