/**
 * A single attempt to run a request on a backend server.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type * as stream from "node:stream";
import type * as core from "@ebonypath/core";
import type * as protocol from "@ebonypath/protocol";
import * as backend from "../backend/mod.ts";
import type * as stallAwareClock from "./stall_aware_clock.ts";
import type * as types from "./types.ts";
import * as tokenUsage from "./token_usage.ts";

/** Largest non-streamed answer, in bytes. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
/**
 * Time after which a stream that still delivers events shows that its server
 * can sustain the load, in milliseconds.
 */
const SUSTAINED_STREAM_MS = 500;
/**
 * Silence in milliseconds after which the connection of a stream is suspected
 * to be dead when the caller disconnects: the server may not learn of the end
 * and go on running the request.
 */
const SUSPECT_SILENCE_MS = 2_000;
/** Content type of streams. */
const EVENT_STREAM_TYPE = "text/event-stream";

/** Result of an attempt. */
export type AttemptResult =
  /** The complete answer was passed to the sink. */
  | { readonly kind: "answered"; readonly tokens: number }
  /** The server refused the request before starting it. */
  | { readonly kind: "refused"; readonly code: string }
  /** The attempt failed. */
  | {
    readonly kind: "failed";
    readonly fault: backend.DispatchFault | "cut" | "silent" | "too-large";
    /** False only if no byte of the request was sent. */
    readonly bytesSent: boolean;
    /** Whether part of the answer was passed to the sink. */
    readonly bytesToCaller: boolean;
    /**
     * Whether the server may still be running the request. This host ended the
     * attempt after silence; over a dead connection the server does not learn
     * of that.
     */
    readonly mayStillRun: boolean;
    readonly detail: string;
  };

/** Parameters of an attempt. */
export interface AttemptOptions {
  readonly client: Pick<backend.InferenceClient, "dispatch">;
  readonly server: protocol.control.ServerStatus;
  readonly work: types.Work;
  readonly sink: types.Sink;
  readonly signal: AbortSignal;
  readonly streamIdleTimeoutMs: number;
  /** Longest wait for the response headers, in milliseconds. */
  readonly firstByteTimeoutMs: number;
  /** Clock for the silence of a stream. */
  readonly clock: Pick<stallAwareClock.StallAwareClock, "nowMs">;
  /** Use a new connection instead of a pooled one. */
  readonly useNewConnection: boolean;
  /** Called once if the server has noticed that the attempt was aborted. */
  onAbortConfirmed?(): void;
  /** Called once when the response headers have arrived. */
  onFirstByte(): void;
  /** Called once when a stream has delivered events for some time. */
  onStreamSustained(): void;
}

/**
 * Sends a request to a server and passes the answer to the sink. Never rejects.
 *
 * @example
 * ```ts
 * const result = await attempt({ client, server, work, sink, ... });
 * ```
 */
export async function attempt(
  options: AttemptOptions,
): Promise<AttemptResult> {
  const { client, server, work, signal } = options;
  const dispatch = await client.dispatch({
    server: { id: server.id, address: server.address },
    method: work.method,
    path: work.path,
    headers: work.headers,
    body: work.body,
    requestId: work.requestId,
    priority: work.priority,
    dedicatedConnection: options.useNewConnection,
    requiresRequestId: server.kind === "engine",
    firstByteTimeoutMs: options.firstByteTimeoutMs,
    idleTimeoutMs: options.streamIdleTimeoutMs,
    signal,
    onServerClose: () => options.onAbortConfirmed?.(),
  });
  switch (dispatch.kind) {
    case "refused":
      return { kind: "refused", code: dispatch.code };
    case "failed":
      return {
        kind: "failed",
        fault: classifyFault(dispatch.fault, work),
        bytesSent: dispatch.bytesSent,
        bytesToCaller: false,
        mayStillRun: dispatch.fault === "first-byte-timeout",
        detail: dispatch.error.message,
      };
    case "answered":
      options.onFirstByte();
      return isStream(dispatch)
        ? await forwardStream(options, dispatch.body)
        : await forwardCompleteAnswer(options, dispatch);
  }
}

/**
 * Maps a first-byte timeout before the deadline to `silent`: the connection
 * alone may be at fault.
 */
function classifyFault(
  fault: backend.DispatchFault,
  work: types.Work,
): backend.DispatchFault | "silent" {
  const isEarly = performance.now() < work.deadline;
  return fault === "first-byte-timeout" && isEarly ? "silent" : fault;
}

function isStream(answer: backend.ServerResponse): boolean {
  return answer.headers["content-type"]?.startsWith(EVENT_STREAM_TYPE) === true;
}

async function forwardStream(
  options: AttemptOptions,
  body: stream.Readable,
): Promise<AttemptResult> {
  const { clock, signal, sink, work } = options;
  let eventCount = 0;
  let lastEventMs = clock.nowMs;
  let reported: number | undefined;
  let sustainedAt: number | undefined = performance.now() + SUSTAINED_STREAM_MS;
  try {
    for await (const event of backend.readEvents(body)) {
      lastEventMs = clock.nowMs;
      if (!sink.started) sink.begin();
      await sink.write(event.bytes);
      eventCount += 1;
      reported = tokenUsage.reportedTokens(event.data) ?? reported;
      if (sustainedAt !== undefined && performance.now() >= sustainedAt) {
        sustainedAt = undefined;
        options.onStreamSustained();
      }
    }
  } catch (error) {
    body.destroy();
    return signal.aborted
      ? cancelledFailure(sink.started, clock.nowMs - lastEventMs)
      : interruptedFailure(error, sink.started);
  }
  sink.end();
  const tokens = reported ?? tokenUsage.estimateTokens(work.body, eventCount);
  return { kind: "answered", tokens };
}

async function forwardCompleteAnswer(
  options: AttemptOptions,
  answer: backend.ServerResponse,
): Promise<AttemptResult> {
  const parts: Buffer[] = [];
  let bytes = 0;
  const deadlineTimer = setTimeout(
    () => answer.body.destroy(deadlineError(options.server)),
    options.work.deadline - performance.now(),
  );
  try {
    for await (const part of answer.body) {
      parts.push(part as Buffer);
      bytes += (part as Buffer).length;
      if (bytes > MAX_ANSWER_BYTES) return tooLargeFailure(answer);
    }
  } catch (error) {
    return options.signal.aborted
      ? cancelledFailure(false, 0)
      : interruptedFailure(error, false);
  } finally {
    clearTimeout(deadlineTimer);
  }
  const body = Buffer.concat(parts);
  options.sink.answer({ status: answer.status, headers: answer.headers, body });
  return { kind: "answered", tokens: usedTokens(options.work, body) };
}

function deadlineError(server: protocol.control.ServerStatus): Error {
  const message = "the deadline has passed";
  return new backend.SilentAnswer("dispatch", server.id, message);
}

function usedTokens(work: types.Work, body: Buffer): number {
  if (work.target === work.service) return work.tokens;
  return tokenUsage.reportedTokens(body.toString("utf8")) ?? work.tokens;
}

function tooLargeFailure(answer: backend.ServerResponse): AttemptResult {
  answer.body.destroy();
  return {
    kind: "failed",
    fault: "too-large",
    bytesSent: true,
    bytesToCaller: false,
    mayStillRun: false,
    detail: `the answer has more than ${MAX_ANSWER_BYTES} bytes`,
  };
}

/** The caller has disconnected, which says nothing about the server. */
function cancelledFailure(
  bytesToCaller: boolean,
  silenceMs: number,
): AttemptResult {
  return {
    kind: "failed",
    fault: "cancelled",
    bytesSent: true,
    bytesToCaller,
    mayStillRun: silenceMs >= SUSPECT_SILENCE_MS,
    detail: "the caller has left",
  };
}

function interruptedFailure(
  error: unknown,
  bytesToCaller: boolean,
): AttemptResult {
  return {
    kind: "failed",
    fault: "cut",
    bytesSent: true,
    bytesToCaller,
    mayStillRun: error instanceof backend.SilentAnswer,
    detail: error instanceof Error ? error.message : String(error),
  };
}

/**
 * Returns what an attempt shows about the server, for its adaptive limit.
 *
 * @example
 * ```ts
 * shares.releaseSlot(slot, slotOutcome(result));
 * ```
 */
export function slotOutcome(
  result: AttemptResult,
): core.limits.SlotOutcome {
  switch (result.kind) {
    case "answered":
      return "succeeded";
    case "refused":
      return result.code === "not-loaded" ? "neutral" : "refused";
    case "failed":
      return result.fault === "cancelled" || result.fault === "silent"
        ? "neutral"
        : "failed";
  }
}
