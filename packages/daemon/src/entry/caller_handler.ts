/**
 * HTTP API of an entry host for callers.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type * as http from "node:http";
import * as timers from "node:timers/promises";
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

/** Time for work that is aborted to end, when the host stops, in ms. */
const ABORT_MS = 100;
/** Number of random bytes in a request id. */
const REQUEST_ID_BYTES = 12;
/** HTTP status for a deferred request that is not finished. */
const ACCEPTED_STATUS = 202;
/**
 * Largest announced body of a refused request that is read to its end and
 * discarded, in bytes.
 */
const MAX_DISCARDED_BYTES = 16 * 1024 * 1024;

/** Whether a host accepts new requests. */
export type Readiness =
  | { readonly kind: "ready" }
  | { readonly kind: "not-ready"; readonly reason: string };

/** Dependencies of {@link CallerHandler}. */
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

/** Handles the HTTP requests of callers. */
export class CallerHandler {
  readonly #options: CallerHandlerOptions;
  #openRequests = 0;
  /** Calls that have no complete answer. */
  readonly #openCalls = new Set<Call>();
  /** Aborts the work of calls. */
  readonly #abortControllers = new Set<AbortController>();

  constructor(options: CallerHandlerOptions) {
    this.#options = options;
  }

  /** Number of requests whose response is not completely sent. */
  get openCount(): number {
    return this.#openRequests;
  }

  /**
   * Ends what is open when the host stops: what was sent to no server is refused
   * as not run, all else as work that may have run.
   */
  async endOpenCalls(): Promise<void> {
    const detail = "the host stops before the request could end";
    const notRun = new protocol.errors.Refusal(
      protocol.errors.NO_CAPACITY,
      detail,
      { step: "wait" },
    );
    for (const controller of this.#abortControllers) controller.abort(notRun);
    await timers.setTimeout(ABORT_MS);
    for (const { sink } of this.#openCalls) {
      sink.refuse(
        new protocol.errors.Refusal(
          protocol.errors.DEADLINE_EXCEEDED,
          detail,
          { outcome: "may-have-run", step: "dispatch" },
        ),
      );
    }
  }

  /** Handles one request of a caller or of the platform. */
  async handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const call = parseCall(request, response);
    if (call.path === "/livez") return sendText(response, 200, "live\n");
    if (call.path === "/readyz") return this.#sendReadiness(response);
    this.#openRequests += 1;
    this.#openCalls.add(call);
    const closed = new Promise((resolve) => response.once("close", resolve));
    this.#closeUnlessReady(response);
    try {
      await this.#route(call);
    } catch (error) {
      this.#refuse(call, error);
    } finally {
      this.#openCalls.delete(call);
      this.#options.metrics.requests.inc({ ...resultOf(call) });
      // A slow reader counts as open until its response is completely sent.
      void closed.then(() => this.#openRequests -= 1);
    }
  }

  /** Closes the connection after the response unless the host is ready. */
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
        return await this.#handleInference(call, call.path);
    }
    const answer = /^\/v1\/answers\/([0-9a-f]{16,128})$/.exec(call.path)?.[1];
    if (answer !== undefined) return await this.#handleAnswer(call, answer);
    const service = /^\/services\/([^/]+)(\/.*)?$/.exec(call.path);
    if (service?.[1] !== undefined) {
      return await this.#handleServiceCall(call, service[1], service[2] ?? "/");
    }
    throw new protocol.errors.Refusal(
      protocol.errors.NOT_FOUND,
      `there is no path ${call.path}`,
      { step: "route" },
    );
  }

  async #handleInference(
    call: Call,
    path: resolve.InferencePath,
  ): Promise<void> {
    this.#requireReady();
    const caller = this.#authenticate(call);
    const body = await this.#readBody(call);
    const work = resolve.resolveInference(
      path,
      call.request,
      body,
      caller,
      this.#resolutionContext(call),
    );
    await this.#runWork(call, work);
  }

  async #handleServiceCall(
    call: Call,
    service: string,
    path: string,
  ): Promise<void> {
    this.#requireReady();
    const serviceCall = { service, path, query: call.query };
    // Authenticates before the body is read: callers without a valid key must
    // not be able to make the host buffer one.
    const withoutBody = resolve.resolveServiceCall(
      serviceCall,
      call.request,
      Buffer.alloc(0),
      () => this.#authenticate(call),
      this.#resolutionContext(call),
    );
    const body = await this.#readBody(call);
    const work = withoutBody.workspace === null && body.length === 0
      ? withoutBody
      : resolve.resolveServiceCall(
        serviceCall,
        call.request,
        body,
        () => this.#authenticate(call),
        this.#resolutionContext(call),
      );
    await this.#runWork(call, work);
  }

  async #runWork(call: Call, work: types.Work): Promise<void> {
    const key = atMostOnce.idempotencyKey(call.request);
    if (work.tier.delivery === "deferred") {
      return await this.#acceptDeferred(call, work, key);
    }
    const { sink } = call;
    if (!work.idempotent && key !== null && work.workspace !== null) {
      const { workspace } = work;
      return await this.#options.atMostOnce.run(work, workspace, key, sink);
    }
    const disconnected = new AbortController();
    call.response.on("close", () => {
      // `close` follows every response, and an abort is as costly as an error.
      if (!call.response.writableEnded) disconnected.abort();
    });
    this.#abortControllers.add(disconnected);
    try {
      await this.#options.run(work, sink, disconnected.signal);
    } finally {
      this.#abortControllers.delete(disconnected);
    }
  }

  async #acceptDeferred(
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

  async #handleAnswer(call: Call, id: string): Promise<void> {
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
    const models = this.#options.state.view.catalogue.referencesAllowedTo(
      workspace,
    );
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

  #resolutionContext(call: Call): resolve.ResolutionContext {
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

  /** Refuses until the first state has arrived: without it no key is known. */
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
    if (!request.complete) discardBody(request, response);
    sink.refuse(refusal);
    if (refusal.definition === protocol.errors.INTERNAL) throw error;
  }
}

function parseCall(
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Call {
  const url = request.url ?? "/";
  const queryStart = url.indexOf("?");
  const requestId = security.randomId(REQUEST_ID_BYTES);
  return {
    request,
    response,
    requestId,
    sink: new httpSink.HttpSink(response, requestId),
    path: queryStart < 0 ? url : url.slice(0, queryStart),
    query: queryStart < 0 ? "" : url.slice(queryStart),
  };
}

/**
 * Returns the result for the metrics. Model lists and deferred requests are
 * sent without the sink, so it holds no result for them.
 */
function resultOf(call: Call): httpSink.RequestResult {
  if (call.sink.requestResult !== undefined) return call.sink.requestResult;
  const isAccepted = call.response.statusCode === ACCEPTED_STATUS;
  return { outcome: isAccepted ? "accepted" : "ran", problem: "" };
}

/**
 * Keeps the unread rest of a body from being parsed as the next request. A body
 * of known, limited length is read and discarded, since a caller that is still
 * writing when its connection closes loses the refusal. Otherwise the
 * connection is closed.
 */
function discardBody(
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  const contentLength = Number(request.headers["content-length"] ?? Infinity);
  if (contentLength <= MAX_DISCARDED_BYTES) request.resume();
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
