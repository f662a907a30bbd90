/**
 * One try of a request at one backend server.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type * as stream from "node:stream";
import type * as core from "@ebonypath/core";
import type * as protocol from "@ebonypath/protocol";
import * as backend from "../backend/mod.ts";
import type * as attendedTime from "./attended_time.ts";
import type * as types from "./types.ts";
import * as usage from "./usage.ts";

/** Largest answer that is not streamed, in bytes. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
/**
 * Time for which a stream brings events until its server counts as one that
 * bears it, in milliseconds.
 */
const BORNE_AFTER_MS = 500;
/**
 * Silence of a stream that its caller leaves, in milliseconds, from which on
 * its connection is doubted: its server may not hear of the end.
 */
const DOUBTED_SILENCE_MS = 2_000;
/** Content type of streams. */
const EVENT_STREAM = "text/event-stream";

/** How one try ended. */
export type AttemptResult =
  /** The caller has its whole answer. */
  | { readonly kind: "answered"; readonly tokens: number }
  /** The server refused before it started. */
  | { readonly kind: "refused"; readonly code: string }
  /** The try failed. */
  | {
    readonly kind: "failed";
    readonly fault: backend.DispatchFault | "cut" | "silent" | "too-large";
    /** False only if no byte of the request went out. */
    readonly bytesSent: boolean;
    /** Whether a part of the answer reached the caller. */
    readonly bytesToCaller: boolean;
    /**
     * Whether this host ended the try because nothing came: over a connection
     * that went silent the server does not hear of it and goes on.
     */
    readonly isGivenUp: boolean;
    readonly detail: string;
  };

/** What a try needs. */
export interface AttemptOptions {
  readonly client: Pick<backend.InferenceClient, "dispatch">;
  readonly server: protocol.control.ServerStatus;
  readonly work: types.Work;
  readonly sink: types.Sink;
  readonly signal: AbortSignal;
  readonly streamIdleTimeoutMs: number;
  /** Longest wait for the head of the answer, in milliseconds. */
  readonly firstByteTimeoutMs: number;
  /** Measures silence. */
  readonly attended: Pick<attendedTime.AttendedTime, "ms">;
  /** Use a connection of its own. */
  readonly fresh: boolean;
  /** Called once if the server has seen that a try was given up. */
  onHungUp?(): void;
  /** Called once when the head of the answer has arrived. */
  onFirstByte(): void;
  /** Called once when a stream has gone on for a while. */
  onBorne(): void;
}

/**
 * Sends a request to a server and passes the answer on. Never rejects.
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
    dedicatedConnection: options.fresh,
    requiresRequestId: server.kind === "engine",
    firstByteTimeoutMs: options.firstByteTimeoutMs,
    idleTimeoutMs: options.streamIdleTimeoutMs,
    signal,
    onServerClose: () => options.onHungUp?.(),
  });
  switch (dispatch.kind) {
    case "refused":
      return { kind: "refused", code: dispatch.code };
    case "failed":
      return {
        kind: "failed",
        fault: faultOf(dispatch.fault, work),
        bytesSent: dispatch.bytesSent,
        bytesToCaller: false,
        isGivenUp: dispatch.fault === "first-byte-timeout",
        detail: dispatch.error.message,
      };
    case "answered":
      options.onFirstByte();
      return isStream(dispatch)
        ? await passStream(options, dispatch.body)
        : await passWhole(options, dispatch);
  }
}

/** Silence before the deadline may be the fault of the connection alone. */
function faultOf(
  fault: backend.DispatchFault,
  work: types.Work,
): backend.DispatchFault | "silent" {
  const isEarly = performance.now() < work.deadline;
  return fault === "first-byte-timeout" && isEarly ? "silent" : fault;
}

function isStream(answer: backend.ServerResponse): boolean {
  return answer.headers["content-type"]?.startsWith(EVENT_STREAM) === true;
}

async function passStream(
  options: AttemptOptions,
  body: stream.Readable,
): Promise<AttemptResult> {
  const { attended, signal, sink, work } = options;
  let events = 0;
  let heardAtMs = attended.ms;
  let stated: number | undefined;
  let borneAt: number | undefined = performance.now() + BORNE_AFTER_MS;
  try {
    for await (const event of backend.readEvents(body)) {
      heardAtMs = attended.ms;
      if (!sink.started) sink.begin();
      await sink.write(event.bytes);
      events += 1;
      stated = usage.statedTokens(event.data) ?? stated;
      if (borneAt !== undefined && performance.now() >= borneAt) {
        borneAt = undefined;
        options.onBorne();
      }
    }
  } catch (error) {
    body.destroy();
    return signal.aborted
      ? cancelled(sink.started, attended.ms - heardAtMs)
      : cut(error, sink.started);
  }
  sink.end();
  const tokens = stated ?? usage.estimatedTokens(work.body, events);
  return { kind: "answered", tokens };
}

async function passWhole(
  options: AttemptOptions,
  answer: backend.ServerResponse,
): Promise<AttemptResult> {
  const parts: Buffer[] = [];
  let bytes = 0;
  const late = setTimeout(
    () => answer.body.destroy(lateAnswer(options.server)),
    options.work.deadline - performance.now(),
  );
  try {
    for await (const part of answer.body) {
      parts.push(part as Buffer);
      bytes += (part as Buffer).length;
      if (bytes > MAX_ANSWER_BYTES) return tooLarge(answer);
    }
  } catch (error) {
    return options.signal.aborted ? cancelled(false, 0) : cut(error, false);
  } finally {
    clearTimeout(late);
  }
  const body = Buffer.concat(parts);
  options.sink.answer({ status: answer.status, headers: answer.headers, body });
  return { kind: "answered", tokens: tokensOf(options.work, body) };
}

function lateAnswer(server: protocol.control.ServerStatus): Error {
  const message = "the deadline has passed";
  return new backend.SilentAnswer("dispatch", server.id, message);
}

function tokensOf(work: types.Work, body: Buffer): number {
  if (work.target === work.service) return work.tokens;
  return usage.statedTokens(body.toString("utf8")) ?? work.tokens;
}

function tooLarge(answer: backend.ServerResponse): AttemptResult {
  answer.body.destroy();
  return {
    kind: "failed",
    fault: "too-large",
    bytesSent: true,
    bytesToCaller: false,
    isGivenUp: false,
    detail: `the answer has more than ${MAX_ANSWER_BYTES} bytes`,
  };
}

/** The caller has left, which says nothing of the server. */
function cancelled(bytesToCaller: boolean, silenceMs: number): AttemptResult {
  return {
    kind: "failed",
    fault: "cancelled",
    bytesSent: true,
    bytesToCaller,
    isGivenUp: silenceMs >= DOUBTED_SILENCE_MS,
    detail: "the caller has left",
  };
}

function cut(error: unknown, bytesToCaller: boolean): AttemptResult {
  return {
    kind: "failed",
    fault: "cut",
    bytesSent: true,
    bytesToCaller,
    isGivenUp: error instanceof backend.SilentAnswer,
    detail: error instanceof Error ? error.message : String(error),
  };
}

/**
 * What a try showed of the server, for its ramp-up.
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
