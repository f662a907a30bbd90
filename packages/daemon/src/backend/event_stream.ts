/**
 * Parser for server-sent events that detects incomplete streams.
 *
 * @module
 */
import { Buffer } from "node:buffer";

/** Data of the event that terminates a complete stream. */
const TERMINAL_DATA = "[DONE]";
/** Maximum size of an event, in bytes. */
const MAX_EVENT_BYTES = 4 * 1_024 * 1_024;

/** One event of a stream. `kind` is `done` for the terminal event. */
export interface StreamEvent {
  readonly kind: "event" | "done";
  /** The unmodified bytes of the event, including the empty line. */
  readonly bytes: Buffer;
  /** Value of the `data` fields; empty if there are none, as in comments. */
  readonly data: string;
}

/** The stream ended before its terminal event, or an event is too large. */
export class IncompleteStreamError extends Error {
  override readonly name = "IncompleteStreamError";
}

/**
 * Yields the events of a body up to and including the terminal event. The rest
 * of the body is read and discarded so that the connection can be reused.
 *
 * @throws {IncompleteStreamError} if the body ends before the terminal event or
 * an event is too large.
 * @example
 * ```ts
 * for await (const event of readEvents(serverResponse.body)) {
 *   callerResponse.write(event.bytes);
 * }
 * ```
 */
export async function* readEvents(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<StreamEvent, void, undefined> {
  let buffered: Buffer = Buffer.alloc(0);
  let isDone = false;
  for await (const chunk of body) {
    if (isDone) continue;
    buffered = buffered.length === 0
      ? Buffer.from(chunk)
      : Buffer.concat([buffered, chunk]);
    for (
      let end = findEventEnd(buffered);
      end > 0;
      end = findEventEnd(buffered)
    ) {
      const event = parseEvent(buffered.subarray(0, end));
      buffered = buffered.subarray(end);
      isDone = event.kind === "done";
      yield event;
      if (isDone) break;
    }
    if (buffered.length > MAX_EVENT_BYTES) {
      throw new IncompleteStreamError("an event is too large");
    }
  }
  if (!isDone) {
    throw new IncompleteStreamError("the stream ended before its last event");
  }
}

/** Returns the end offset of the first event, or 0 if it is incomplete. */
function findEventEnd(bytes: Buffer): number {
  const lfAt = bytes.indexOf("\n\n");
  const crlfAt = bytes.indexOf("\n\r\n");
  if (lfAt < 0 && crlfAt < 0) return 0;
  if (crlfAt < 0 || (lfAt >= 0 && lfAt < crlfAt)) return lfAt + 2;
  return crlfAt + 3;
}

function parseEvent(bytes: Buffer): StreamEvent {
  const data = bytes.toString("utf8")
    .split(/\r?\n/)
    .filter((line) => line.startsWith("data:"))
    .map((line) => line.slice("data:".length).replace(/^ /, ""))
    .join("\n");
  return { kind: data === TERMINAL_DATA ? "done" : "event", bytes, data };
}
