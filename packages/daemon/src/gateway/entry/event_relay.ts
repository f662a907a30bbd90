/**
 * Relays a backend server's event stream to the caller.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type * as http from "node:http";
import * as core from "@ebonypath/core";
import * as bodyReader from "./body_reader.ts";
import type * as responseBuffer from "./response_buffer.ts";

const EVENT_DELIMITER = Buffer.from("\n\n");
/** Limit of an event, in bytes: it is buffered until it is complete. */
const MAX_EVENT_BYTES = 1024 * 1024;
const NEWLINE = 0x0a;
/** First byte of a line that carries an event id. */
const ID_LINE_FIRST_BYTE = "i".charCodeAt(0);
const ID_LINE = /^id: ?(.*)$/;

/** Response that is being relayed. */
type Source = {
  readonly message: http.IncomingMessage;
  readonly reader: bodyReader.BodyReader;
  readonly partialEvent: responseBuffer.ResponseBuffer;
};

/**
 * Relays server-sent events and writes only complete ones, so that a stream
 * which breaks inside an event can be resumed at another server.
 */
export class EventRelay implements Disposable {
  readonly #response: http.ServerResponse;
  readonly #budget: responseBuffer.BufferBudget;
  readonly #sequence: core.gateway.EventSequence;
  #partialEvent: responseBuffer.ResponseBuffer | undefined;
  /** Whether the last byte of the partial event ends a line. */
  #endsWithNewline = false;
  #eventCount = 0;

  /** @param lastEventId id of the last event that the caller has received */
  constructor(
    response: http.ServerResponse,
    budget: responseBuffer.BufferBudget,
    lastEventId?: string,
  ) {
    this.#response = response;
    this.#budget = budget;
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
   * @param server its id
   * @param completed rejects when the stream is interrupted
   *
   * @throws {Error} the stream was interrupted, ended inside an event or does
   * not follow on
   */
  async relay(
    server: string,
    message: http.IncomingMessage,
    completed: Promise<void>,
  ): Promise<void> {
    this[Symbol.dispose]();
    const partialEvent = this.#budget.open({
      peer: server,
      maxBytes: MAX_EVENT_BYTES,
      onOverflow: (error) => message.destroy(error),
    });
    this.#partialEvent = partialEvent;
    this.#sequence.begin();
    const previousCount = this.#eventCount;
    const reader = new bodyReader.BodyReader(message);
    reader.read((bytes) =>
      this.#onRead(bytes, { message, reader, partialEvent })
    );
    await completed;
    if (partialEvent.length > 0) {
      throw new Error("the stream ended within an event");
    }
    if (previousCount > 0 && this.#eventCount === previousCount) {
      throw new Error("the stream goes on without an event");
    }
  }

  /** Releases the memory of an incomplete event. */
  [Symbol.dispose](): void {
    this.#partialEvent?.[Symbol.dispose]();
    this.#partialEvent = undefined;
    this.#endsWithNewline = false;
  }

  #onRead(bytes: Buffer, source: Source): void {
    const { message, partialEvent } = source;
    if (message.destroyed) return;
    const completeBytes = this.#completeBytes(bytes);
    this.#endsWithNewline = bytes.at(-1) === NEWLINE &&
      completeBytes < bytes.length;
    const rest = bytes.subarray(completeBytes);
    if (completeBytes === 0) return partialEvent.append(rest);
    const complete = bytes.subarray(0, completeBytes);
    const events = partialEvent.length === 0
      ? complete
      : Buffer.concat([...partialEvent.parts, complete]);
    partialEvent[Symbol.dispose]();
    partialEvent.append(rest);
    this.#writeEvents(events, source);
  }

  /** Number of bytes up to the end of the last complete event. */
  #completeBytes(bytes: Buffer): number {
    const lastDelimiter = bytes.lastIndexOf(EVENT_DELIMITER);
    if (lastDelimiter >= 0) return lastDelimiter + EVENT_DELIMITER.length;
    return this.#endsWithNewline && bytes[0] === NEWLINE ? 1 : 0;
  }

  #writeEvents(events: Buffer, { message, reader }: Source): void {
    const order = this.#trackEvents(events);
    if (order !== "in-order") {
      message.destroy(new Error(`the stream goes on with ${order} events`));
      return;
    }
    if (this.#response.write(events)) return;
    this.#response.once("drain", reader.hold());
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
