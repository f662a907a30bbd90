/**
 * Relays a backend server's event stream to the caller.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type * as http from "node:http";

const EVENT_DELIMITER = Buffer.from("\n\n");
const MAX_EVENT_BYTES = 1024 * 1024;
const NEWLINE = 0x0a;
/** First byte of a line that carries an event id. */
const ID_LINE_FIRST_BYTE = "i".charCodeAt(0);
const ID_LINE = /^id: ?(.*)$/;

/**
 * Relays server-sent events and writes only complete ones, so that a stream
 * which breaks inside an event can be resumed at another server.
 */
export class EventRelay {
  readonly #response: http.ServerResponse;
  #partialEvent: Buffer = Buffer.alloc(0);
  #lastEventId: string | undefined;
  #eventCount = 0;

  constructor(response: http.ServerResponse) {
    this.#response = response;
  }

  /** Id of the last event that was relayed. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Number of events that were relayed. */
  get eventCount(): number {
    return this.#eventCount;
  }

  /**
   * Relays one server's stream to its end.
   *
   * @param completed rejects when the stream is interrupted
   *
   * @throws {Error} the stream was interrupted, or ended inside an event
   */
  async relay(
    message: http.IncomingMessage,
    completed: Promise<void>,
  ): Promise<void> {
    this.#partialEvent = Buffer.alloc(0);
    message.on("data", (chunk: Buffer) => this.#onChunk(chunk, message));
    await completed;
    if (this.#partialEvent.length > 0) {
      throw new Error("the stream ended within an event");
    }
  }

  #onChunk(chunk: Buffer, message: http.IncomingMessage): void {
    const bytes = this.#partialEvent.length === 0
      ? chunk
      : Buffer.concat([this.#partialEvent, chunk]);
    const lastDelimiter = bytes.lastIndexOf(EVENT_DELIMITER);
    const completeBytes = lastDelimiter < 0
      ? 0
      : lastDelimiter + EVENT_DELIMITER.length;
    this.#partialEvent = bytes.subarray(completeBytes);
    if (this.#partialEvent.length > MAX_EVENT_BYTES) {
      message.destroy(new Error("an event is too large"));
      return;
    }
    if (completeBytes > 0) {
      this.#write(bytes.subarray(0, completeBytes), message);
    }
  }

  #write(events: Buffer, message: http.IncomingMessage): void {
    this.#trackEvents(events);
    if (this.#response.write(events)) return;
    message.pause();
    this.#response.once("drain", () => message.resume());
  }

  /** Counts the events and remembers the id of the last one. */
  #trackEvents(events: Buffer): void {
    let lineStart = 0;
    while (lineStart < events.length) {
      const newline = events.indexOf(NEWLINE, lineStart);
      const lineEnd = newline < 0 ? events.length : newline;
      if (lineEnd === lineStart) this.#eventCount += 1;
      else if (events[lineStart] === ID_LINE_FIRST_BYTE) {
        const id = ID_LINE.exec(
          events.toString("utf8", lineStart, lineEnd),
        )?.[1];
        this.#lastEventId = id ?? this.#lastEventId;
      }
      lineStart = lineEnd + 1;
    }
  }
}
