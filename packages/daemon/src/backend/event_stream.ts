/**
 * Reads server-sent events and knows when a stream is whole.
 *
 * @module
 */
import { Buffer } from "node:buffer";

/** Data of the event that ends a whole stream. */
const TERMINAL_DATA = "[DONE]";
/** Largest event that is accepted, in bytes. */
const EVENT_BYTES = 4 * 1_024 * 1_024;

/** One event of a stream, with the bytes to pass on. */
export interface StreamEvent {
  readonly kind: "event" | "done";
  readonly bytes: Buffer;
  /** Value of the `data` field; empty for comments. */
  readonly data: string;
}

/** A stream ended before its terminal event, or is not a stream of events. */
export class IncompleteStreamError extends Error {
  override readonly name = "IncompleteStreamError";
}

/**
 * Reads the events of a body. The terminal event is the last one that is
 * returned; the rest of the body is read after it, so that the connection can
 * be used again.
 *
 * @throws {IncompleteStreamError} if the body ends before the terminal event.
 * @example
 * ```ts
 * for await (const event of readEvents(answer.body)) {
 *   response.write(event.bytes);
 * }
 * ```
 */
export async function* readEvents(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<StreamEvent, void, undefined> {
  let rest: Buffer = Buffer.alloc(0);
  let isDone = false;
  for await (const chunk of body) {
    if (isDone) continue;
    rest = rest.length === 0
      ? Buffer.from(chunk)
      : Buffer.concat([rest, chunk]);
    for (let end = endOfEvent(rest); end > 0; end = endOfEvent(rest)) {
      const event = parseEvent(rest.subarray(0, end));
      rest = rest.subarray(end);
      isDone = event.kind === "done";
      yield event;
      if (isDone) break;
    }
    if (rest.length > EVENT_BYTES) {
      throw new IncompleteStreamError("an event is too large");
    }
  }
  if (!isDone) {
    throw new IncompleteStreamError("the stream ended before its last event");
  }
}

/** Returns where the first event ends, or 0 if it is not yet whole. */
function endOfEvent(bytes: Buffer): number {
  const plain = bytes.indexOf("\n\n");
  const carriage = bytes.indexOf("\n\r\n");
  if (plain < 0 && carriage < 0) return 0;
  if (carriage < 0 || (plain >= 0 && plain < carriage)) return plain + 2;
  return carriage + 3;
}

function parseEvent(bytes: Buffer): StreamEvent {
  const data = bytes.toString("utf8")
    .split(/\r?\n/)
    .filter((line) => line.startsWith("data:"))
    .map((line) => line.slice("data:".length).replace(/^ /, ""))
    .join("\n");
  return { kind: data === TERMINAL_DATA ? "done" : "event", bytes, data };
}
