/**
 * The callers' interface of an entry host.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type * as http from "node:http";
import * as protocol from "@ebonypath/protocol";
import type * as host from "../host/mod.ts";
import * as httpBody from "../http_body/mod.ts";
import type * as metrics from "../metrics/mod.ts";
import * as security from "../security/mod.ts";
import * as atMostOnce from "./at_most_once.ts";
import * as authentication from "./authentication.ts";
import type * as deferred from "./deferred.ts";
import * as httpSink from "./http_sink.ts";
import * as resolve from "./resolve.ts";
import type * as types from "./types.ts";

/** Random bytes of a request id. */
const REQUEST_ID_BYTES = 12;
/** Status of a deferred request that has not ended. */
const ACCEPTED_STATUS = 202;
/** Bodies up to this size are read, and dropped, to their end if refused. */
const DRAINED_BYTES = 16 * 1024 * 1024;

/** How a host stands towards new requests. */
export type Readiness =
  | { readonly kind: "ready" }
  | { readonly kind: "not-ready"; readonly reason: string };

/** What the callers' interface works with. */
export interface CallerHandlerOptions {
  readonly state: host.FleetState;
  readonly limits: protocol.settings.Limits;
  readonly metrics: metrics.Metrics;
  readonly run: atMostOnce.RunWork;
  readonly atMostOnce: atMostOnce.AtMostOnce;
  readonly deferred: deferred.DeferredRequests;
  readiness(): Readiness;
}

interface Call {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly requestId: string;
  readonly sink: httpSink.HttpSink;
  readonly path: string;
  readonly query: string;
}

/** Answers the requests of callers. */
export class CallerHandler {
  readonly #options: CallerHandlerOptions;
  #open = 0;

  constructor(options: CallerHandlerOptions) {
    this.#options = options;
  }

  /** Requests whose answer has not been sent to its end yet. */
  get openCount(): number {
    return this.#open;
  }

  /** Handles one request of a caller or of the platform. */
  async handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const call = parseCall(request, response);
    if (call.path === "/livez") return sendText(response, 200, "live\n");
    if (call.path === "/readyz") return this.#sendReadiness(response);
    this.#open += 1;
    const closed = new Promise((resolve) => response.once("close", resolve));
    this.#closeUnlessReady(response);
    try {
      await this.#route(call);
    } catch (error) {
      this.#refuse(call, error);
    } finally {
      this.#options.metrics.requests.inc({ ...endingOf(call) });
      // A caller that reads slowly still waits for the end of its answer.
      void closed.then(() => this.#open -= 1);
    }
  }

  /** A caller of a host that leaves must not send more on its connection. */
  #closeUnlessReady(response: http.ServerResponse): void {
    if (this.#options.readiness().kind === "ready") return;
    response.setHeader("connection", "close");
  }

  async #route(call: Call): Promise<void> {
    const { method } = call.request;
    switch (call.path) {
      case "/v1/models":
        if (method !== "GET") throw wrongMethod(call);
        return this.#listModels(call);
      case "/v1/chat/completions":
      case "/v1/completions":
        if (method !== "POST") throw wrongMethod(call);
        return await this.#infer(call, call.path);
    }
    const answer = /^\/v1\/answers\/([0-9a-f]{16,128})$/.exec(call.path)?.[1];
    if (answer !== undefined) return await this.#answer(call, answer);
    const service = /^\/services\/([^/]+)(\/.*)?$/.exec(call.path);
    if (service?.[1] !== undefined) {
      return await this.#callService(call, service[1], service[2] ?? "/");
    }
    throw new protocol.errors.Refusal(
      protocol.errors.NOT_FOUND,
      `there is no path ${call.path}`,
      { step: "route" },
    );
  }

  async #infer(call: Call, path: resolve.InferencePath): Promise<void> {
    this.#requireReady();
    const caller = this.#authenticate(call);
    const body = await this.#readBody(call);
    const work = resolve.resolveInference(
      path,
      call.request,
      body,
      caller,
      this.#resolution(call),
    );
    await this.#perform(call, work);
  }

  async #callService(
    call: Call,
    service: string,
    path: string,
  ): Promise<void> {
    this.#requireReady();
    const named = { service, path, query: call.query };
    // A caller without a valid key must not make the host read its body.
    const early = resolve.resolveServiceCall(
      named,
      call.request,
      Buffer.alloc(0),
      () => this.#authenticate(call),
      this.#resolution(call),
    );
    const body = await this.#readBody(call);
    const work = early.workspace === null && body.length === 0
      ? early
      : resolve.resolveServiceCall(
        named,
        call.request,
        body,
        () => this.#authenticate(call),
        this.#resolution(call),
      );
    await this.#perform(call, work);
  }

  async #perform(call: Call, work: types.Work): Promise<void> {
    const key = atMostOnce.idempotencyKey(call.request);
    if (work.tier.delivery === "deferred") {
      return await this.#defer(call, work, key);
    }
    const { sink } = call;
    if (!work.idempotent && key !== null && work.workspace !== null) {
      const { workspace } = work;
      return await this.#options.atMostOnce.run(work, workspace, key, sink);
    }
    const gone = new AbortController();
    call.response.on("close", () => {
      // Every response closes; an abort costs as much as an error.
      if (!call.response.writableEnded) gone.abort();
    });
    await this.#options.run(work, sink, gone.signal);
  }

  async #defer(
    call: Call,
    work: types.Work,
    key: string | null,
  ): Promise<void> {
    if (work.workspace === null || work.stream) {
      throw new protocol.errors.Refusal(
        protocol.errors.INVALID_REQUEST,
        "a deferred tier needs a key and gives no stream",
        { step: "defer" },
      );
    }
    const contentType = call.request.headers["content-type"] ??
      "application/octet-stream";
    await this.#options.deferred.accept(
      work,
      work.workspace,
      key,
      contentType,
      call.response,
    );
  }

  async #answer(call: Call, id: string): Promise<void> {
    this.#requireReady();
    const { workspace } = this.#authenticate(call);
    const { requestId, request, response, sink } = call;
    switch (request.method) {
      case "GET":
        return await this.#options.deferred.collect(
          id,
          workspace,
          sink,
          request,
          response,
        );
      case "DELETE":
        return await this.#options.deferred.cancel(
          id,
          workspace,
          requestId,
          response,
        );
      default:
        throw wrongMethod(call);
    }
  }

  #listModels(call: Call): void {
    this.#requireReady();
    const { workspace } = this.#authenticate(call);
    const models = this.#options.state.view.catalogue.modelsOf(workspace);
    const data = models.map((id) => ({
      id,
      object: "model",
      created: 0,
      owned_by: id.slice(0, id.indexOf("/")),
    }));
    const body = JSON.stringify({ object: "list", data });
    call.response.writeHead(200, {
      "content-type": "application/json",
      [protocol.errors.REQUEST_ID_HEADER]: call.requestId,
    });
    call.response.end(body);
  }

  #authenticate(call: Call): authentication.Caller {
    return authentication.authenticate(call.request, this.#options.state.view);
  }

  #resolution(call: Call): resolve.ResolutionContext {
    return {
      requestId: call.requestId,
      view: this.#options.state.view,
      now: performance.now(),
    };
  }

  #readBody(call: Call): Promise<Buffer> {
    return httpBody.readBody(call.request, {
      maxBytes: this.#options.limits.maxBodyBytes,
      timeoutMs: this.#options.limits.bodyTimeoutMs,
    });
  }

  /** A host that has never been current knows no keys. */
  #requireReady(): void {
    if (this.#options.state.index >= 0) return;
    throw new protocol.errors.Refusal(
      protocol.errors.NOT_CURRENT,
      "the host has not heard from a leader yet",
      { step: "accept", retryAfterSeconds: 1 },
    );
  }

  #sendReadiness(response: http.ServerResponse): void {
    const readiness = this.#options.readiness();
    if (readiness.kind === "ready") return sendText(response, 200, "ready\n");
    sendText(response, 503, `not ready: ${readiness.reason}\n`);
  }

  #refuse(call: Call, error: unknown): void {
    const refusal = toRefusal(error);
    const { request, response, sink } = call;
    if (!request.complete) passOverBody(request, response);
    sink.refuse(refusal);
    if (refusal.definition === protocol.errors.INTERNAL) throw error;
  }
}

function parseCall(
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Call {
  const url = request.url ?? "/";
  const mark = url.indexOf("?");
  const requestId = security.randomId(REQUEST_ID_BYTES);
  return {
    request,
    response,
    requestId,
    sink: new httpSink.HttpSink(response, requestId),
    path: mark < 0 ? url : url.slice(0, mark),
    query: mark < 0 ? "" : url.slice(mark),
  };
}

/** What has no answer in the sink is a list, or a deferred request. */
function endingOf(call: Call): httpSink.RequestResult {
  if (call.sink.requestResult !== undefined) return call.sink.requestResult;
  const isAccepted = call.response.statusCode === ACCEPTED_STATUS;
  return { outcome: isAccepted ? "accepted" : "ran", problem: "" };
}

/**
 * An unread rest of a body must not be taken for the next request. A rest of
 * known length is read: a caller that still writes when its connection is
 * closed loses the refusal. Any other body ends the connection.
 */
function passOverBody(
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  const announced = Number(request.headers["content-length"] ?? Infinity);
  if (announced <= DRAINED_BYTES) request.resume();
  else if (!response.headersSent) response.setHeader("connection", "close");
}

function toRefusal(error: unknown): protocol.errors.Refusal {
  if (error instanceof protocol.errors.Refusal) return error;
  return new protocol.errors.Refusal(
    protocol.errors.INTERNAL,
    "the host failed while it handled the request",
    { step: "handle", cause: error },
  );
}

function wrongMethod(call: Call): protocol.errors.Refusal {
  return new protocol.errors.Refusal(
    protocol.errors.INVALID_REQUEST,
    `${call.request.method} is not supported on ${call.path}`,
    { step: "route" },
  );
}

function sendText(
  response: http.ServerResponse,
  status: number,
  text: string,
): void {
  response.writeHead(status, { "content-type": "text/plain" });
  response.end(text);
}
