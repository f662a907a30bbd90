/**
 * Reads the bodies of backend servers' responses.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type * as http from "node:http";
import process from "node:process";
import * as httpBody from "../../http_body/mod.ts";

const EMPTY = Buffer.alloc(0);

/**
 * Reads the body of a response, with rests if it comes in small chunks. The
 * connection is paused rather than the message, which would queue each chunk
 * that the parser has yet to take from the read.
 *
 * @example
 * ```ts
 * const reader = new BodyReader(message);
 * reader.read((bytes) => {
 *   if (response.write(bytes)) return;
 *   response.once("drain", reader.hold());
 * });
 * ```
 */
export class BodyReader {
  readonly #message: http.IncomingMessage;
  /** Reasons for which the connection is paused. */
  #holds = 0;
  /** What the read that the parser goes through has of the body so far. */
  #bytes: Buffer = EMPTY;
  #length = 0;
  /** Number of its chunks so far. */
  #chunks = 0;
  /** Monotonic time at which the parser came upon the first, in milliseconds. */
  #readAt = 0;

  constructor(message: http.IncomingMessage) {
    this.#message = message;
  }

  /**
   * Calls a function with what each read has of the body, until its end. The
   * chunks of a read are joined, whose number the server chooses.
   */
  read(onRead: (bytes: Buffer) => void): void {
    this.#message.on("data", (chunk: Buffer) => {
      if (this.#chunks === 0) {
        this.#readAt = performance.now();
        // Runs when the parser has gone through all that was read.
        process.nextTick(() => this.#handleRead(onRead));
      }
      this.#append(chunk);
    });
    // A body that arrived with its head ends in the tick before it is handled.
    this.#message.on("end", () => this.#handleRead(onRead));
  }

  /**
   * Reads nothing more until the returned function is called, and all others
   * that were returned before it. A body that is complete has nothing to hold,
   * and its connection may serve another request.
   */
  hold(): () => void {
    const { complete, socket } = this.#message;
    if (complete) return () => {};
    this.#holds += 1;
    // The message resumes its connection in this turn, after what was read last.
    process.nextTick(() => {
      if (this.#holds > 0) socket.pause();
    });
    let isHeld = true;
    return () => {
      if (!isHeld) return;
      isHeld = false;
      this.#holds -= 1;
      if (this.#holds === 0) socket.resume();
    };
  }

  /** Copies all chunks but a read's first: as objects, they take much memory. */
  #append(chunk: Buffer): void {
    const length = this.#length + chunk.length;
    if (this.#chunks === 0) this.#bytes = chunk;
    else {
      if (length > this.#bytes.length) {
        const grown = Buffer.allocUnsafe(2 * length);
        this.#bytes.copy(grown, 0, 0, this.#length);
        this.#bytes = grown;
      }
      chunk.copy(this.#bytes, this.#length);
    }
    this.#length = length;
    this.#chunks += 1;
  }

  #handleRead(onRead: (bytes: Buffer) => void): void {
    const bytes = this.#bytes.subarray(0, this.#length);
    const chunks = this.#chunks;
    if (chunks === 0) return;
    this.#bytes = EMPTY;
    this.#length = 0;
    this.#chunks = 0;
    onRead(bytes);
    const now = performance.now();
    const tookMs = now - this.#readAt;
    const delayMs = httpBody.readPacer.delayMs({ chunks, tookMs }, now);
    if (delayMs <= 0 || this.#message.destroyed) return;
    setTimeout(this.hold(), delayMs);
  }
}
