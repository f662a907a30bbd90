/**
 * Sends requests to servers until one has answered or none can.
 *
 * Repeats only what may be repeated: a request that a server states it did not
 * run, or one whose route allows a second run.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type * as http from "node:http";
import { errors, type gateway } from "@ebonypath/protocol";
import * as log from "../../log/mod.ts";
import type * as metrics from "../metrics.ts";
import * as eventRelay from "./event_relay.ts";
import type * as serverSelector from "./server_selector.ts";
import * as responses from "./responses.ts";
import type * as retryBudgets from "./retry_budgets.ts";
import type * as serverTracker from "./server_tracker.ts";
import type * as types from "./types.ts";
import * as upstream from "./upstream.ts";

const write = log.createLog("dispatch");

/** Largest answer that is not a stream, in bytes: it is held until whole. */
const ANSWER_BYTES = 16 * 1024 * 1024;
/** Time after which a refused request may find room, in seconds. */
const RETRY_AFTER_SECONDS = 0.25;
const SECOND_MS = 1_000;
/** Status of a stream's head. */
const OK = 200;
/** Time without an answer after which a server is left out, in ms. */
const SILENT_SERVER_MS = 1_000;
/** Least time for a server to begin its answer, in milliseconds. */
const SLOW_HEAD_MS = 250;
/** The same in times within which the route wants its answers. */
const SLOW_HEAD_TARGETS = 3;
/** Part of the time that is left which one server may take. */
const SLOW_HEAD_PART = 0.5;
/** Least status of a server's own failure. */
const SERVER_ERROR = 500;

/** What a dispatcher works with. */
export interface DispatcherOptions {
  readonly dialect: types.Dialect;
  readonly selector: serverSelector.ServerSelector;
  readonly tracker: serverTracker.ServerTracker;
  readonly retryBudgets: retryBudgets.RetryBudgets;
  readonly metrics: metrics.GatewayMetrics;
}

/** A request with its two ends. */
export interface Exchange {
  readonly context: types.RequestContext;
  readonly request: http.IncomingMessage;
  readonly body: Buffer | undefined;
  readonly response: http.ServerResponse;
}

/** What came of one attempt. */
type Attempt =
  /** The caller has its answer, or has left. */
  | { readonly kind: "done"; readonly outcome: string }
  /** The server did not run it. */
  | { readonly kind: "not-run"; readonly reason: string }
  /** The server may have run it. */
  | { readonly kind: "unknown"; readonly reason: string }
  /** The server ran it and failed. */
  | { readonly kind: "failed"; readonly answer: WholeAnswer };

type WholeAnswer = {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
};

type Answered = Extract<upstream.UpstreamResult, { kind: "answered" }>;

/** How a request has fared so far. */
type Progress = {
  sent: number;
  /** Servers that may have run it. */
  runs: number;
  reason: string;
  failure: WholeAnswer | undefined;
  relay: eventRelay.EventRelay | undefined;
  servers: string[];
  /** Time until it was first sent to a server, in milliseconds. */
  waitedMs: number | undefined;
  /** Time until a server's answer began, in milliseconds. */
  headMs: number | undefined;
  /** Whether a server's own answer reached the caller. */
  isAnswered: boolean;
};

/** Runs requests. */
export class Dispatcher {
  readonly #options: DispatcherOptions;

  constructor(options: DispatcherOptions) {
    this.#options = options;
  }

  /**
   * Serves a request to its end; what is refused has been answered. Resolves
   * to whether a server may have run it.
   */
  async serve(exchange: Exchange): Promise<boolean> {
    const { context: work } = exchange;
    const progress: Progress = {
      sent: 0,
      runs: 0,
      reason: "none",
      failure: undefined,
      relay: undefined,
      servers: [],
      waitedMs: undefined,
      headMs: undefined,
      isAnswered: false,
    };
    const outcome = await this.#run(exchange, progress);
    this.#options.metrics.requests.inc({ outcome });
    write("request", {
      id: work.metadata.id,
      route: work.route.name,
      model: work.metadata.model,
      adapter: work.metadata.adapter,
      workspace: work.workspace?.name,
      tokens: work.metadata.tokens,
      servers: progress.servers.join(","),
      events: progress.relay?.eventCount,
      waited_ms: rounded(progress.waitedMs),
      head_ms: rounded(progress.headMs),
      took_ms: rounded(performance.now() - work.arrivedAt),
      outcome,
      reason: progress.reason === "none" ? undefined : progress.reason,
    });
    return progress.runs > 0 || progress.isAnswered;
  }

  async #run(exchange: Exchange, progress: Progress): Promise<string> {
    const { selector: placement, retryBudgets: retries } = this.#options;
    const { context: work } = exchange;
    const service = work.service.name;
    while (true) {
      const server = await placement.select(work);
      if (server === undefined) return this.#giveUp(exchange, progress);
      const now = performance.now();
      if (progress.sent === 0) retries.recordRequest(service, now);
      else if (!retries.tryRetry(service, now)) {
        progress.reason += ", and the retry budget is used up";
        return this.#giveUp(exchange, progress);
      }
      progress.sent += 1;
      progress.waitedMs ??= now - work.arrivedAt;
      progress.servers.push(server.id);
      const attempt = await this.#attempt(exchange, server, progress);
      if (attempt.kind === "done") return attempt.outcome;
      if (!this.#mayGoOn(work, attempt, progress)) {
        return this.#giveUp(exchange, progress);
      }
    }
  }

  /** Notes a failed attempt; returns whether another one is allowed. */
  #mayGoOn(
    work: types.RequestContext,
    attempt: Attempt,
    progress: Progress,
  ): boolean {
    switch (attempt.kind) {
      case "done":
        return false;
      case "not-run":
        progress.reason = attempt.reason;
        return true;
      case "unknown":
        progress.reason = attempt.reason;
        progress.runs += 1;
        return work.isRetryable && progress.runs < work.route.maxAttempts;
      case "failed":
        progress.reason = `status ${attempt.answer.status}`;
        progress.runs += 1;
        progress.failure = attempt.answer;
        return work.isRetryable && progress.runs < work.route.maxAttempts;
      default:
        return errors.assertNever(attempt);
    }
  }

  async #attempt(
    exchange: Exchange,
    server: gateway.ServerRecord,
    progress: Progress,
  ): Promise<Attempt> {
    const { tracker: book } = this.#options;
    const end = book.startRequest(server.id, exchange.context);
    try {
      const attempt = await this.#send(exchange, server, progress);
      this.#options.metrics.attempts.inc({ result: attempt.kind });
      return attempt;
    } finally {
      end();
      this.#options.selector.processQueue();
    }
  }

  async #send(
    exchange: Exchange,
    server: gateway.ServerRecord,
    progress: Progress,
  ): Promise<Attempt> {
    const { body, request, context: work } = exchange;
    const { dialect } = this.#options;
    const now = performance.now();
    const result = await upstream.send({
      address: server.address,
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers: dialect.upstreamHeaders(request, {
        server: server.id,
        deadlineMs: Math.max(1, Math.floor(work.deadline - now)),
        workspace: work.workspace?.name,
        priority: work.service.engine === undefined ? undefined : work.priority,
        lastEventId: progress.relay?.lastEventId ??
          (work.route.isResumable ? work.metadata.lastEventId : undefined),
        bodyBytes: body?.length,
      }),
      body,
      isReusable: work.route.kind === "safe",
      signal: work.signal,
      headTimeoutMs: headTimeoutOf(work, progress),
    });
    switch (result.kind) {
      case "not-sent":
        if (work.signal.aborted) return { kind: "done", outcome: "left" };
        this.#fail(work, server.id);
        return { kind: "not-run", reason: result.reason };
      case "no-answer": {
        const silentMs = performance.now() - now;
        if (!work.signal.aborted || silentMs > SILENT_SERVER_MS) {
          this.#fail(work, server.id);
        }
        return { kind: "unknown", reason: result.reason };
      }
      case "answered":
        return await this.#receive(exchange, server, result, progress);
      default:
        return errors.assertNever(result);
    }
  }

  #fail(work: types.RequestContext, server: string): void {
    this.#options.tracker.recordFailure(server, performance.now());
    work.failedServers.add(server);
  }

  async #receive(
    exchange: Exchange,
    server: gateway.ServerRecord,
    result: Answered,
    progress: Progress,
  ): Promise<Attempt> {
    const { context: work } = exchange;
    const { tracker: book, dialect } = this.#options;
    const facts = dialect.readResponse(
      result.message,
      work.metadata.id,
      server.id,
    );
    progress.headMs = performance.now() - work.arrivedAt;
    this.#options.metrics.latency.observe(progress.headMs / SECOND_MS);
    if (facts.isMismatched) {
      result.cancel();
      return { kind: "unknown", reason: "the answer to another request" };
    }
    if (facts.isNotRun) return this.#notRun(work, server.id, result, facts);
    if (facts.isEventStream && result.status === OK) {
      return await this.#stream(exchange, server, result, progress);
    }
    try {
      const answer = await this.#collect(result);
      const isFailure = answer.status >= SERVER_ERROR;
      if (isFailure) work.failedServers.add(server.id);
      else book.recordSuccess(server.id);
      if (isFailure && work.isRetryable) return { kind: "failed", answer };
      return this.#deliver(exchange, answer, progress);
    } catch (error) {
      result.cancel();
      if (!work.signal.aborted) this.#fail(work, server.id);
      return { kind: "unknown", reason: messageOf(error) };
    }
  }

  #notRun(
    work: types.RequestContext,
    server: string,
    { message, status }: Answered,
    { reason }: types.ResponseMetadata,
  ): Attempt {
    message.resume();
    const now = performance.now();
    if (reason === "no-model") {
      this.#options.tracker.recordMissingModel(server, work, now);
    } else this.#fail(work, server);
    return { kind: "not-run", reason: `${reason} (${status})` };
  }

  /** An answer that is no stream is passed on only when it is whole. */
  async #collect(
    { completed: end, message, status }: Answered,
  ): Promise<WholeAnswer> {
    const parts: Buffer[] = [];
    let bytes = 0;
    message.on("data", (part: Buffer) => {
      parts.push(part);
      bytes += part.length;
      if (bytes > ANSWER_BYTES) {
        message.destroy(new Error("the answer is too large"));
      }
    });
    await end;
    const headers = this.#options.dialect.responseHeaders(message);
    return { status, headers, body: Buffer.concat(parts) };
  }

  #deliver(
    { response }: Exchange,
    { body, headers, status }: WholeAnswer,
    progress: Progress,
  ): Attempt {
    if (progress.relay !== undefined) {
      // The caller has a part of a stream: nothing else can follow it.
      response.destroy();
      return { kind: "done", outcome: "cut" };
    }
    responses.sendResponse(response, status, headers, body);
    progress.isAnswered = true;
    return { kind: "done", outcome: `answered ${status}` };
  }

  async #stream(
    exchange: Exchange,
    server: gateway.ServerRecord,
    result: Answered,
    progress: Progress,
  ): Promise<Attempt> {
    const { response, context: work } = exchange;
    if (progress.relay === undefined) {
      const isFramed = upstream.isSelfDelimited(result.message);
      const passed = this.#options.dialect.responseHeaders(result.message);
      responses.startStream(response, result.status, passed, isFramed);
      progress.relay = new eventRelay.EventRelay(response);
    }
    try {
      await progress.relay.relay(result.message, result.completed);
      this.#options.tracker.recordSuccess(server.id);
      progress.isAnswered = true;
      response.end();
      return { kind: "done", outcome: "streamed" };
    } catch (error) {
      result.cancel();
      if (!work.signal.aborted) this.#fail(work, server.id);
      return { kind: "unknown", reason: messageOf(error) };
    }
  }

  /** Ends a request that no server will answer any more. */
  #giveUp(exchange: Exchange, progress: Progress): string {
    const { response, context: work } = exchange;
    if (progress.relay !== undefined) {
      response.destroy();
      return "cut";
    }
    if (progress.failure !== undefined) {
      const { body, headers, status } = progress.failure;
      responses.sendResponse(response, status, headers, body);
      return `answered ${status}`;
    }
    const refusal = refusalOf(work, progress);
    responses.sendRefusal(
      response,
      this.#options.dialect,
      work.metadata.id,
      refusal,
    );
    return `refused ${refusal.definition.status}`;
  }
}

/**
 * Time for a server to begin its answer. A request that may run again does not
 * wait to its end for a server, or a connection, that has fallen silent.
 */
function headTimeoutOf(
  { deadline, isRetryable: isRepeatable, route }: types.RequestContext,
  { runs }: Progress,
): number | undefined {
  const isLast = runs + 1 >= route.maxAttempts;
  if (!isRepeatable || isLast || route.kind === "streaming") return undefined;
  const restMs = deadline - performance.now();
  const usualMs = Math.max(SLOW_HEAD_MS, SLOW_HEAD_TARGETS * route.targetMs);
  return Math.min(restMs * SLOW_HEAD_PART, usualMs);
}

/** Says that a request has not run only where that is certain. */
function refusalOf(
  work: types.RequestContext,
  progress: Progress,
): errors.Refusal {
  const { reason, runs } = progress;
  if (runs === 0) {
    return new errors.Refusal(
      errors.NO_CAPACITY,
      `no server took the request in time: ${reason}`,
      { retryAfterSeconds: RETRY_AFTER_SECONDS },
    );
  }
  const isLate = performance.now() >= work.deadline;
  const definition = isLate ? errors.DEADLINE_EXCEEDED : errors.BACKEND_FAILED;
  return new errors.Refusal(definition, reason);
}

function rounded(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms);
}

function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
