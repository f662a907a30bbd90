/**
 * Relays a backend server's event stream to the caller.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type * as http from "node:http";
import * as core from "@ebonypath/core";

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
  readonly #sequence: core.gateway.EventSequence;
  #partialEvent: Buffer = Buffer.alloc(0);
  #eventCount = 0;

  /** @param lastEventId id of the last event that the caller has received */
  constructor(response: http.ServerResponse, lastEventId?: string) {
    this.#response = response;
    this.#sequence = new core.gateway.EventSequence(lastEventId);
  }

  /** Id of the last event that was relayed. */
  get lastEventId(): string | undefined {
    return this.#sequence.lastId;
  }

  /** Number of events that were relayed. */
  get eventCount(): number {
    return this.#eventCount;
  }

  /**
   * Relays one server's stream to its end. If the stream has begun at another
   * server, this one has to follow on.
   *
   * @param completed rejects when the stream is interrupted
   *
   * @throws {Error} the stream was interrupted, ended inside an event or does
   * not follow on
   */
  async relay(
    message: http.IncomingMessage,
    completed: Promise<void>,
  ): Promise<void> {
    this.#partialEvent = Buffer.alloc(0);
    this.#sequence.begin();
    const previousCount = this.#eventCount;
    message.on("data", (chunk: Buffer) => this.#onChunk(chunk, message));
    await completed;
    if (this.#partialEvent.length > 0) {
      throw new Error("the stream ended within an event");
    }
    if (previousCount > 0 && this.#eventCount === previousCount) {
      throw new Error("the stream goes on without an event");
    }
  }

  #onChunk(chunk: Buffer, message: http.IncomingMessage): void {
    // Chunks that were received together still arrive.
    if (message.destroyed) return;
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
    const order = this.#trackEvents(events);
    if (order !== "in-order") {
      message.destroy(new Error(`the stream goes on with ${order} events`));
      return;
    }
    if (this.#response.write(events)) return;
    message.pause();
    this.#response.once("drain", () => message.resume());
  }

  /** Counts events until one doesn't follow on from those before. */
  #trackEvents(events: Buffer): core.gateway.EventOrder {
    let lineStart = 0;
    while (lineStart < events.length) {
      const newline = events.indexOf(NEWLINE, lineStart);
      const lineEnd = newline < 0 ? events.length : newline;
      if (lineEnd === lineStart) this.#eventCount += 1;
      else if (events[lineStart] === ID_LINE_FIRST_BYTE) {
        const id = ID_LINE.exec(
          events.toString("utf8", lineStart, lineEnd),
        )?.[1];
        const order = id === undefined ? "in-order" : this.#sequence.add(id);
        if (order !== "in-order") return order;
      }
      lineStart = lineEnd + 1;
    }
    return "in-order";
  }
}
