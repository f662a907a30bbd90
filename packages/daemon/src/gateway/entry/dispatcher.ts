/**
 * Sends requests to backend servers until one responds or none is left to try.
 *
 * Retries a request only if that is safe: either the server states that it has
 * not run it, or the route allows it to run more than once.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type * as http from "node:http";
import * as core from "@ebonypath/core";
import { errors, type gateway } from "@ebonypath/protocol";
import * as log from "../../log/mod.ts";
import type * as metrics from "../metrics.ts";
import * as bodyReader from "./body_reader.ts";
import type * as crashSuspects from "./crash_suspects.ts";
import * as eventRelay from "./event_relay.ts";
import type * as expectedReturns from "./expected_returns.ts";
import type * as hostDrain from "./host_drain.ts";
import * as refusals from "./refusals.ts";
import type * as removalWatch from "./removal_watch.ts";
import * as responseBuffer from "./response_buffer.ts";
import * as responses from "./responses.ts";
import type * as retryBudgets from "./retry_budgets.ts";
import type * as serverSelector from "./server_selector.ts";
import type * as serverTracker from "./server_tracker.ts";
import * as streamStart from "./stream_start.ts";
import type * as types from "./types.ts";
import * as upstream from "./upstream.ts";

const write = log.createLog("dispatch");

/**
 * Limit of a response that is not a stream, in bytes: it is buffered until it
 * is complete, so that the request can still go to another server.
 */
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
/** Limit of a refusal's body, in bytes: it is not passed on. */
const MAX_REFUSAL_BYTES = 64 * 1024;
const SECOND_MS = 1_000;
/** Status of a response that may be a stream. */
const OK_STATUS = 200;
/**
 * Time without a response, in milliseconds, after which a server counts as
 * failed although the request was cancelled.
 */
const UNRESPONSIVE_SERVER_MS = 1_000;
/** Lower bound of the usual time limit for a response's head, in ms. */
const MIN_HEAD_TIMEOUT_MS = 250;
/** The usual time limit for a response's head, in target times of the route. */
const HEAD_TIMEOUT_TARGETS = 3;
/** Fraction of the time left that one server may take for the head. */
const HEAD_TIMEOUT_FRACTION = 0.5;
const ENDED_WITH_RESPONSE = "the server ended with its response";
/** Lowest status that reports an error of the server. */
const MIN_SERVER_ERROR_STATUS = 500;

/** Dependencies of a dispatcher. */
export interface DispatcherOptions {
  readonly dialect: types.Dialect;
  /** Limit of all responses and partial events that are buffered, in bytes. */
  readonly maxBufferedBytes: number;
  readonly selector: serverSelector.ServerSelector;
  readonly tracker: serverTracker.ServerTracker;
  readonly retryBudgets: retryBudgets.RetryBudgets;
  readonly streams: core.gateway.OwnStreams;
  readonly suspects: Pick<
    crashSuspects.CrashSuspects,
    "confirmEnd" | "recordEnd" | "recordFailure" | "recordSuccess"
  >;
  readonly drain: Pick<hostDrain.HostDrain, "decideStart" | "recordRun">;
  readonly metrics: metrics.GatewayMetrics;
  readonly returns: Pick<expectedReturns.ExpectedReturns, "schedule">;
  /** What the refusal of a request follows from, for its log line. */
  refusalInputs(context: types.RequestContext): log.Fields;
  readonly removals: Pick<removalWatch.RemovalWatch, "watch">;
  /**
   * Called when a server has begun to run a request.
   *
   * @param stream the answer, if it is a stream that has no event yet
   */
  onRequestBegun(
    context: types.RequestContext,
    stream?: http.IncomingMessage,
  ): void;
  /** Called when a server has said that it leaves. */
  onServerLeaving(): void;
  /** Called when a stream that may be resumed begins. */
  onStreamBegun(stream: core.gateway.OwnStream): void;
  /** Called when a caller may resume a stream at another host. */
  onStreamBroken(stream: core.gateway.OwnStream): void;
}

/** A request, its state and the response to its caller. */
export interface Exchange {
  readonly context: types.RequestContext;
  readonly request: http.IncomingMessage;
  readonly body: Buffer | undefined;
  readonly response: http.ServerResponse;
}

/** Result of one attempt. */
type AttemptResult =
  /** The caller has received its response, or has disconnected. */
  | {
    readonly kind: "done";
    readonly outcome: string;
    /** Whether a server has certainly run it to a good end. */
    readonly isSuccess: boolean;
  }
  /** The server did not run the request. */
  | {
    readonly kind: "not-run";
    readonly reason: string;
    /** Whether the server has received it. */
    readonly hasArrived: boolean;
  }
  /** The server may have run it. */
  | {
    readonly kind: "unknown";
    readonly reason: string;
    /** Whether the server closed the connection before its response ended. */
    readonly isConnectionLost: boolean;
  }
  /** The server ran it and reported an error. */
  | { readonly kind: "failed"; readonly response: BufferedResponse };

/** The caller has disconnected. */
const DISCONNECTED: AttemptResult = {
  kind: "done",
  outcome: "left",
  isSuccess: false,
};

type BufferedResponse = {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: responseBuffer.ResponseBuffer;
};

type UpstreamResponse = Extract<upstream.UpstreamResult, { kind: "answered" }>;

/** Progress of a request over all its attempts. */
type Progress = {
  attempts: number;
  /** Attempts that may have reached a server. */
  arrivals: number;
  /** Attempts that may have run the request. */
  possibleRuns: number;
  /** Why the last attempt failed. */
  reason: string;
  /** Last response that reported an error of the server. */
  errorResponse: BufferedResponse | undefined;
  /** Present once a stream to the caller has started. */
  relay: eventRelay.EventRelay | undefined;
  /** The same stream, if another server may continue it. */
  stream: core.gateway.OwnStream | undefined;
  /** Monotonic time of the last attempt, in milliseconds. */
  sentAt: number;
  /** Ids of the servers that the request was sent to. */
  servers: string[];
  /** Time from arrival to the first attempt, in milliseconds. */
  waitedMs: number | undefined;
  /** Time from arrival to the last response head, in milliseconds. */
  headMs: number | undefined;
  /** Whether the caller has received a server's response. */
  hasServerResponse: boolean;
  /** Why no server was selected for it. */
  cause: refusals.Cause | undefined;
};

/** Dispatches requests to backend servers. */
export class Dispatcher {
  readonly #options: DispatcherOptions;
  readonly #budget: responseBuffer.BufferBudget;

  constructor(options: DispatcherOptions) {
    this.#options = options;
    this.#budget = new responseBuffer.BufferBudget(options.maxBufferedBytes);
  }

  /** Memory of the responses and partial events that are held, in bytes. */
  get bufferedBytes(): number {
    return this.#budget.bytes;
  }

  /** Fraction of the memory for them that is used, from 0 to 1. */
  get bufferUse(): number {
    return this.#budget.use;
  }

  /**
   * Serves a request, or refuses it if no server can. Resolves when the response
   * has been sent, to whether a server may have run the request.
   */
  async serve(exchange: Exchange): Promise<boolean> {
    const { context } = exchange;
    const progress: Progress = {
      attempts: 0,
      arrivals: 0,
      possibleRuns: 0,
      reason: "none",
      errorResponse: undefined,
      relay: undefined,
      stream: undefined,
      sentAt: 0,
      servers: [],
      waitedMs: undefined,
      headMs: undefined,
      hasServerResponse: false,
      cause: undefined,
    };
    const outcome = await this.#runAttempts(exchange, progress);
    progress.relay?.[Symbol.dispose]();
    this.#options.suspects.recordEnd(context);
    if (progress.stream !== undefined && outcome !== "streamed") {
      this.#options.onStreamBroken(progress.stream);
    }
    this.#options.metrics.requests.inc({ outcome });
    write("request", {
      id: context.metadata.id,
      route: context.route.name,
      resumes: context.metadata.resumedRequestId,
      software: progress.stream?.origin.softwareVersion ??
        context.origin?.softwareVersion ?? undefined,
      model: context.metadata.model,
      adapter: context.metadata.adapter,
      workspace: context.workspace?.name,
      tokens: context.metadata.tokens,
      servers: progress.servers.join(","),
      events: progress.relay?.eventCount,
      waited_ms: roundMs(progress.waitedMs),
      head_ms: roundMs(progress.headMs),
      took_ms: roundMs(performance.now() - context.arrivedAt),
      outcome,
      reason: progress.reason === "none" ? undefined : progress.reason,
      ...(outcome.startsWith("refused")
        ? this.#describeRefusal(context, progress)
        : {}),
    });
    return progress.possibleRuns > 0 || progress.hasServerResponse;
  }

  /** Fields that tell why no server was selected, if none was. */
  #describeRefusal(
    context: types.RequestContext,
    { cause }: Progress,
  ): log.Fields {
    if (cause === undefined) return {};
    return {
      cause: cause.kind,
      retry_after_ms: Math.round(cause.retryAfterMs),
      ...this.#options.refusalInputs(context),
    };
  }

  async #runAttempts(exchange: Exchange, progress: Progress): Promise<string> {
    const { retryBudgets, selector } = this.#options;
    const { context } = exchange;
    const service = context.service.name;
    while (true) {
      const selection = await selector.select(this.#direct(context, progress));
      if (selection.kind !== "server") {
        const { returns } = this.#options;
        const now = performance.now();
        const cause = refusals.causeOf(selection, context, returns, now);
        progress.cause = cause;
        progress.reason = cause.reason ?? progress.reason;
        return this.#respondWithFailure(exchange, progress);
      }
      const { server } = selection;
      const now = performance.now();
      if (progress.attempts === 0) retryBudgets.recordRequest(service, now);
      // What reached no server is no retry to the servers.
      if (
        progress.arrivals > 0 &&
        !await retryBudgets.takeRetry(service, now, context.deadline - now)
      ) {
        progress.reason += ", and the retry budget is used up";
        return this.#respondWithFailure(exchange, progress);
      }
      progress.attempts += 1;
      progress.waitedMs ??= now - context.arrivedAt;
      progress.servers.push(server.id);
      const result = await this.#attempt(exchange, server, progress);
      if (result.kind === "done") {
        progress.errorResponse?.body[Symbol.dispose]();
        return result.outcome;
      }
      if (!this.#shouldRetry(context, result, progress)) {
        return this.#respondWithFailure(exchange, progress);
      }
    }
  }

  /** Limits a stream that has begun to servers that may continue it. */
  #direct(
    context: types.RequestContext,
    { stream }: Progress,
  ): types.RequestContext {
    if (stream === undefined) return context;
    return { ...context, origin: this.#options.streams.originOf(stream) };
  }

  /** Records a failed attempt; returns whether another one is allowed. */
  #shouldRetry(
    context: types.RequestContext,
    result: AttemptResult,
    progress: Progress,
  ): boolean {
    switch (result.kind) {
      case "done":
        return false;
      case "not-run":
        progress.reason = result.reason;
        if (result.hasArrived) progress.arrivals += 1;
        return true;
      case "unknown":
        progress.arrivals += 1;
        progress.reason = result.reason;
        progress.possibleRuns += 1;
        return context.isRetryable &&
          progress.possibleRuns < context.route.maxAttempts;
      case "failed":
        progress.arrivals += 1;
        progress.reason = `status ${result.response.status}`;
        progress.possibleRuns += 1;
        progress.errorResponse?.body[Symbol.dispose]();
        progress.errorResponse = result.response;
        return context.isRetryable &&
          progress.possibleRuns < context.route.maxAttempts;
      default:
        return errors.assertNever(result);
    }
  }

  async #attempt(
    exchange: Exchange,
    server: gateway.ServerRecord,
    progress: Progress,
  ): Promise<AttemptResult> {
    const { drain, tracker } = this.#options;
    const { context } = exchange;
    const startedAt = performance.now();
    const endRequest = tracker.startRequest(server.id, context, startedAt);
    progress.sentAt = startedAt;
    try {
      const result = await this.#send(exchange, server, progress);
      if (result.kind !== "not-run" && result !== DISCONNECTED) {
        drain.recordRun(context, performance.now() - startedAt);
      }
      this.#options.metrics.attempts.inc({ result: result.kind });
      if (result.kind === "unknown") {
        const ranMs = performance.now() - startedAt;
        logBrokenAttempt(context, server, result.reason, ranMs);
        if (!context.signal.aborted) {
          await this.#options.suspects.recordFailure(
            context,
            server,
            startedAt,
            result.isConnectionLost,
          );
        }
      }
      const isSuccess = result.kind === "done" && result.isSuccess;
      if (isSuccess) this.#options.suspects.recordSuccess(context, startedAt);
      else this.#options.suspects.recordEnd(context);
      return result;
    } finally {
      endRequest();
      this.#options.selector.processQueue();
    }
  }

  async #send(
    exchange: Exchange,
    server: gateway.ServerRecord,
    progress: Progress,
  ): Promise<AttemptResult> {
    const { body, request, context } = exchange;
    const { dialect, drain } = this.#options;
    const sentAt = performance.now();
    const decision = drain.decideStart(context, sentAt);
    if (decision.kind === "refuse") {
      const reason = "this host stops";
      return { kind: "not-run", reason, hasArrived: false };
    }
    const serverMs = Math.floor(decision.serverDeadline - sentAt);
    using run = this.#options.removals.watch(server, context);
    const result = await upstream.send({
      address: server.address,
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers: dialect.upstreamHeaders(request, {
        server: server.id,
        deadlineMs: Math.max(1, serverMs),
        workspace: context.workspace?.name,
        priority: context.service.engine === undefined
          ? undefined
          : context.priority,
        lastEventId: progress.relay?.lastEventId ??
          callersLastEventId(context),
        bodyBytes: body?.length,
      }),
      body,
      // Responses on a used connection are told apart by the request's id, and
      // the last attempt must not be lost to a connection that is out of step.
      isReusable: context.route.kind === "safe" &&
        context.metadata.id !== undefined && progress.possibleRuns === 0,
      signal: run.signal,
      headTimeoutMs: headTimeout(context, progress),
    });
    const { availability } = this.#options.tracker;
    if (result.kind !== "not-sent") availability.recordReachable(server);
    switch (result.kind) {
      case "not-sent":
        if (exchange.response.destroyed) return DISCONNECTED;
        if (!context.signal.aborted) {
          this.#recordFailure(context, server.id);
          availability.recordUnreachable(server, performance.now());
        }
        return { kind: "not-run", reason: result.reason, hasArrived: false };
      case "no-answer": {
        const elapsedMs = performance.now() - sentAt;
        if (!context.signal.aborted || elapsedMs > UNRESPONSIVE_SERVER_MS) {
          this.#recordFailure(context, server.id);
        }
        const { isTimeout, reason } = result;
        return { kind: "unknown", reason, isConnectionLost: !isTimeout };
      }
      case "answered":
        return await this.#handleResponse(exchange, server, result, progress);
      default:
        return errors.assertNever(result);
    }
  }

  #recordFailure(context: types.RequestContext, server: string): void {
    this.#options.tracker.recordFailure(server, performance.now());
    context.failedServers.add(server);
  }

  async #handleResponse(
    exchange: Exchange,
    server: gateway.ServerRecord,
    result: UpstreamResponse,
    progress: Progress,
  ): Promise<AttemptResult> {
    const { context } = exchange;
    const metadata = this.#options.dialect.readResponse(
      result.message,
      context.metadata.id,
      server.id,
    );
    progress.headMs = performance.now() - context.arrivedAt;
    this.#options.metrics.latency.observe(progress.headMs / SECOND_MS);
    const { isConnectionReused, status } = result;
    const verdict = core.gateway.judgeResponse({
      ...metadata,
      status,
      isConnectionReused,
    });
    if (verdict.kind !== "foreign") {
      this.#recordAvailability(server, metadata);
      if (metadata.identity === "own") result.keepConnection();
    }
    switch (verdict.kind) {
      case "foreign":
        return rejectResponse(result, "the answer to another request");
      case "no-answer":
        this.#recordFailure(context, server.id);
        return rejectResponse(result, `status ${status}, which is none`);
      case "unsigned":
        this.#recordFailure(context, server.id);
        return rejectResponse(result, `status ${status} without a signature`);
      case "unconfirmed-refusal":
        this.#recordFailure(context, server.id);
        return rejectResponse(result, `status ${status}, which may have run`);
      case "not-run":
        return this.#handleNotRun(context, server.id, result, metadata);
      case "answer":
        if (metadata.isEventStream && status === OK_STATUS) {
          const { tracker } = this.#options;
          tracker.recordFirstEvent(server, context, performance.now());
          this.#options.onRequestBegun(context, result.message);
          return await this.#relayStream(exchange, server, result, progress);
        }
        this.#options.onRequestBegun(context);
        return await this.#forwardResponse(exchange, server, result, progress);
      default:
        return errors.assertNever(verdict);
    }
  }

  /** Passes a response on when it is complete. */
  async #forwardResponse(
    exchange: Exchange,
    server: gateway.ServerRecord,
    result: UpstreamResponse,
    progress: Progress,
  ): Promise<AttemptResult> {
    const { context } = exchange;
    try {
      const response = await this.#bufferResponse(server, result);
      const isFramed = upstream.isSelfDelimited(result.message);
      if (!isFramed && await this.#hasEnded(context, server, progress)) {
        response.body[Symbol.dispose]();
        throw new Error(ENDED_WITH_RESPONSE);
      }
      const isFailure = response.status >= MIN_SERVER_ERROR_STATUS;
      if (isFailure) context.failedServers.add(server.id);
      else this.#options.tracker.recordSuccess(server.id);
      if (isFailure && context.isRetryable) return { kind: "failed", response };
      return this.#sendResponse(exchange, response, progress, isFramed);
    } catch (error) {
      result.cancel();
      if (!context.signal.aborted) this.#recordFailure(context, server.id);
      return brokenResponse(error);
    }
  }

  #handleNotRun(
    context: types.RequestContext,
    server: string,
    result: UpstreamResponse,
    { reason }: types.ResponseMetadata,
  ): AttemptResult {
    const { status } = result;
    discardBody(result);
    const now = performance.now();
    if (reason === "no-model") {
      this.#options.tracker.recordMissingModel(server, context, now);
    } else {
      this.#recordFailure(context, server);
    }
    return {
      kind: "not-run",
      reason: `${reason} (${status})`,
      hasArrived: true,
    };
  }

  /** Records what a server says of itself in any of its answers. */
  #recordAvailability(
    server: gateway.ServerRecord,
    { closedMs, isLeaving }: types.ResponseMetadata,
  ): void {
    const { onServerLeaving, tracker } = this.#options;
    const { availability } = tracker;
    const now = performance.now();
    if (closedMs !== undefined) {
      availability.recordClosed(server, closedMs, now, Math.random());
      write("server-closed", { server: server.id, closed_ms: closedMs });
    }
    if (!isLeaving || availability.of(server, now).kind === "leaving") return;
    availability.recordLeaving(server);
    write("server-leaving", { server: server.id, born: server.born });
    onServerLeaving();
  }

  /**
   * Buffers a response, so that the caller gets a complete one or none. The body
   * must be released.
   */
  async #bufferResponse(
    server: gateway.ServerRecord,
    { completed, message, status }: UpstreamResponse,
  ): Promise<BufferedResponse> {
    const body = this.#budget.open({
      peer: server.id,
      maxBytes: MAX_RESPONSE_BYTES,
      onOverflow: (error) => message.destroy(error),
    });
    new bodyReader.BodyReader(message).read((part) => body.append(part));
    try {
      await completed;
      if (body.overflow !== undefined) throw body.overflow;
      body.setOverflowHandler(() => {});
      const headers = this.#options.dialect.responseHeaders(message);
      return { status, headers, body };
    } catch (error) {
      body[Symbol.dispose]();
      throw error;
    }
  }

  #sendResponse(
    { response }: Exchange,
    { body, headers, status }: BufferedResponse,
    progress: Progress,
    isFramed: boolean,
  ): AttemptResult {
    if (progress.relay !== undefined) {
      // The caller has received part of a stream, which nothing can replace.
      body[Symbol.dispose]();
      response.destroy();
      return { kind: "done", outcome: "cut", isSuccess: false };
    }
    responses.sendResponse(response, status, headers, body);
    progress.hasServerResponse = true;
    return {
      kind: "done",
      outcome: `answered ${status}`,
      isSuccess: isFramed && status < MIN_SERVER_ERROR_STATUS,
    };
  }

  async #relayStream(
    exchange: Exchange,
    server: gateway.ServerRecord,
    result: UpstreamResponse,
    progress: Progress,
  ): Promise<AttemptResult> {
    const { response, context } = exchange;
    const { streams } = this.#options;
    if (progress.relay === undefined) {
      const isSelfDelimited = upstream.isSelfDelimited(result.message);
      const headers = this.#options.dialect.responseHeaders(result.message);
      responses.startStream(response, result.status, headers, isSelfDelimited);
      progress.relay = new eventRelay.EventRelay(
        response,
        this.#budget,
        callersLastEventId(context),
      );
    }
    this.#recordStream(context, server, progress);
    const isFramed = upstream.isSelfDelimited(result.message);
    try {
      await progress.relay.relay(server.id, result.message, result.completed);
      if (!isFramed && await this.#hasEnded(context, server, progress)) {
        throw new Error(ENDED_WITH_RESPONSE);
      }
      this.#options.tracker.recordSuccess(server.id);
      progress.hasServerResponse = true;
      response.end();
      if (progress.stream !== undefined) streams.end(progress.stream);
      return { kind: "done", outcome: "streamed", isSuccess: isFramed };
    } catch (error) {
      result.cancel();
      if (!context.signal.aborted) this.#recordFailure(context, server.id);
      return brokenResponse(error);
    }
  }

  /** Whether a server has ended with a response that ended its connection. */
  async #hasEnded(
    context: types.RequestContext,
    server: gateway.ServerRecord,
    { sentAt }: Progress,
  ): Promise<boolean> {
    const { suspects } = this.#options;
    const mayBeWhole = await suspects.confirmEnd(context, server, sentAt);
    logUnframedResponse(context, server, mayBeWhole);
    return !mayBeWhole;
  }

  /** Records from which server a stream that may be resumed is relayed. */
  #recordStream(
    context: types.RequestContext,
    server: gateway.ServerRecord,
    progress: Progress,
  ): void {
    if (!context.isRetryable) return;
    const { onStreamBegun, streams } = this.#options;
    progress.stream ??= streams.begin(
      streamStart.createStart(context, server),
      performance.now(),
    );
    streams.addServer(progress.stream, server);
    onStreamBegun(progress.stream);
  }

  /** Responds to a request for which there are no more attempts. */
  #respondWithFailure(exchange: Exchange, progress: Progress): string {
    const { response, context } = exchange;
    if (progress.relay !== undefined) {
      progress.errorResponse?.body[Symbol.dispose]();
      response.destroy();
      return "cut";
    }
    const { errorResponse } = progress;
    if (
      errorResponse !== undefined && errorResponse.body.overflow === undefined
    ) {
      const { body, headers, status } = errorResponse;
      responses.sendResponse(response, status, headers, body);
      return `answered ${status}`;
    }
    const refusal = refusals.createRefusal(
      context,
      progress,
      performance.now(),
    );
    const { definition } = refusal;
    const cause = progress.possibleRuns === 0 ? progress.cause : undefined;
    const reason = cause?.kind ?? definition.name;
    this.#options.metrics.refusals.inc({ reason });
    responses.sendRefusal(
      response,
      this.#options.dialect,
      context.metadata.id,
      refusal,
    );
    return `refused ${definition.status}`;
  }
}

/**
 * Time limit for a response's head, in milliseconds. It leaves a retryable
 * request time for another server when the server or connection is unresponsive.
 */
function headTimeout(
  { deadline, isRetryable, route }: types.RequestContext,
  { possibleRuns }: Progress,
): number | undefined {
  const isLastAttempt = possibleRuns + 1 >= route.maxAttempts;
  if (!isRetryable || isLastAttempt || route.kind === "streaming") {
    return undefined;
  }
  const remainingMs = deadline - performance.now();
  const usualMs = Math.max(
    MIN_HEAD_TIMEOUT_MS,
    HEAD_TIMEOUT_TARGETS * route.targetMs,
  );
  return Math.min(remainingMs * HEAD_TIMEOUT_FRACTION, usualMs);
}

/** Id of the last event that the caller has received of a stream it resumes. */
function callersLastEventId(
  { metadata, route }: types.RequestContext,
): string | undefined {
  return route.isResumable ? metadata.lastEventId : undefined;
}

/** Drops a response that proves nothing, and its connection. */
function rejectResponse(
  { cancel }: UpstreamResponse,
  reason: string,
): AttemptResult {
  cancel();
  return { kind: "unknown", reason, isConnectionLost: false };
}

/** Reads the rest of a refusal, so that its connection can be used again. */
function discardBody({ cancel, message }: UpstreamResponse): void {
  let bytes = 0;
  const onData = (part: Buffer) => {
    bytes += part.length;
    if (bytes <= MAX_REFUSAL_BYTES) return;
    message.off("data", onData);
    cancel();
  };
  message.on("data", onData);
}

/** A response that ended early: by its server, or because it was too large. */
function brokenResponse(error: unknown): AttemptResult {
  const isConnectionLost = !(error instanceof responseBuffer.BufferLimitError);
  return { kind: "unknown", reason: errorMessage(error), isConnectionLost };
}

/** Logs an attempt that may have run, and which request it was. */
function logBrokenAttempt(
  context: types.RequestContext,
  { born, id }: gateway.ServerRecord,
  reason: string,
  ranMs: number,
): void {
  const { identity, metadata, signal, workspace } = context;
  write("broken-attempt", {
    id: metadata.id,
    fingerprint: identity.fingerprint,
    workspace: workspace?.name,
    route: context.route.name,
    model: metadata.model,
    adapter: metadata.adapter,
    parts: metadata.promptParts.join(",") || undefined,
    server: id,
    born,
    ran_ms: roundMs(ranMs),
    cancelled: signal.aborted,
    reason,
  });
}

/**
 * Logs a response whose end was marked by that of its connection alone: it may
 * be whole, or its server may have ended.
 */
function logUnframedResponse(
  { metadata }: types.RequestContext,
  { born, id }: gateway.ServerRecord,
  mayBeWhole: boolean,
): void {
  write("unframed-response", {
    id: metadata.id,
    server: id,
    born,
    whole: mayBeWhole,
  });
}

function roundMs(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms);
}

function errorMessage(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
