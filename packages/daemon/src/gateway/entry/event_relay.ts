/**
 * Passes the events of a server's stream on to its caller.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type * as http from "node:http";

const EVENT_END = Buffer.from("\n\n");
/** Most bytes of one event. */
const EVENT_BYTES = 1024 * 1024;
const NEWLINE = 0x0a;
/** First byte of a line with an event's id. */
const ID_INITIAL = "i".charCodeAt(0);
const ID_LINE = /^id: ?(.*)$/;

/**
 * Passes whole events on as they arrive, so that a stream which breaks within
 * an event can go on at another server.
 */
export class EventRelay {
  readonly #response: http.ServerResponse;
  #partial: Buffer = Buffer.alloc(0);
  #lastEventId: string | undefined;
  #events = 0;

  constructor(response: http.ServerResponse) {
    this.#response = response;
  }

  /** Id of the last event that was passed on. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Events passed on. */
  get eventCount(): number {
    return this.#events;
  }

  /**
   * Relays one server's stream to its end.
   *
   * @throws {Error} it broke off, or ended within an event
   */
  async relay(
    message: http.IncomingMessage,
    end: Promise<void>,
  ): Promise<void> {
    this.#partial = Buffer.alloc(0);
    message.on("data", (chunk: Buffer) => this.#take(chunk, message));
    await end;
    if (this.#partial.length > 0) {
      throw new Error("the stream ended within an event");
    }
  }

  #take(chunk: Buffer, message: http.IncomingMessage): void {
    const bytes = this.#partial.length === 0
      ? chunk
      : Buffer.concat([this.#partial, chunk]);
    const at = bytes.lastIndexOf(EVENT_END);
    const whole = at < 0 ? 0 : at + EVENT_END.length;
    this.#partial = bytes.subarray(whole);
    if (this.#partial.length > EVENT_BYTES) {
      message.destroy(new Error("an event is too large"));
      return;
    }
    if (whole > 0) this.#pass(bytes.subarray(0, whole), message);
  }

  #pass(events: Buffer, message: http.IncomingMessage): void {
    this.#note(events);
    if (this.#response.write(events)) return;
    message.pause();
    this.#response.once("drain", () => message.resume());
  }

  #note(events: Buffer): void {
    let begin = 0;
    while (begin < events.length) {
      const newline = events.indexOf(NEWLINE, begin);
      const end = newline < 0 ? events.length : newline;
      if (end === begin) this.#events += 1;
      else if (events[begin] === ID_INITIAL) {
        const id = ID_LINE.exec(events.toString("utf8", begin, end))?.[1];
        this.#lastEventId = id ?? this.#lastEventId;
      }
      begin = end + 1;
    }
  }
}
