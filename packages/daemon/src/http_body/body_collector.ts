import { Buffer } from "node:buffer";
import type * as http from "node:http";

/**
 * Size from which on a part is kept as it is, in bytes. Smaller ones are copied:
 * as an object of its own, a part of one byte takes some hundred.
 */
const MIN_PART_BYTES = 16 * 1_024;
/** Sizes of the blocks that small parts are copied into, in bytes. */
const MIN_BLOCK_BYTES = 512;
const MAX_BLOCK_BYTES = 64 * 1_024;

/**
 * Collects a body in memory that depends on its length, not on the number of its
 * parts, which the sender chooses.
 *
 * @example
 * ```ts
 * const body = new BodyCollector();
 * request.on("data", (part) => body.append(part));
 * request.on("end", () => handle(body.take()));
 * ```
 */
export class BodyCollector {
  #parts: Buffer[] = [];
  /** Block that small parts are copied into, and how much of it is in use. */
  #block: Buffer | undefined;
  #blockBytes = 0;
  #length = 0;

  /** Number of bytes that were appended. */
  get length(): number {
    return this.#length;
  }

  append(part: Buffer): void {
    this.#length += part.length;
    if (part.length >= MIN_PART_BYTES) {
      this.#closeBlock();
      this.#parts.push(part);
      return;
    }
    let rest = part;
    while (rest.length > 0) {
      this.#block ??= Buffer.allocUnsafeSlow(
        Math.min(Math.max(MIN_BLOCK_BYTES, this.#length), MAX_BLOCK_BYTES),
      );
      const copied = rest.copy(this.#block, this.#blockBytes);
      this.#blockBytes += copied;
      rest = rest.subarray(copied);
      if (this.#blockBytes === this.#block.length) this.#closeBlock();
    }
  }

  /** Returns the body, and forgets it. */
  take(): Buffer {
    this.#closeBlock();
    const parts = this.#parts;
    this.#parts = [];
    this.#length = 0;
    const [only] = parts;
    return parts.length === 1 && only !== undefined
      ? only
      : Buffer.concat(parts);
  }

  /** Forgets the body. */
  clear(): void {
    this.#parts = [];
    this.#block = undefined;
    this.#blockBytes = 0;
    this.#length = 0;
  }

  #closeBlock(): void {
    if (this.#block === undefined) return;
    this.#parts.push(this.#block.subarray(0, this.#blockBytes));
    this.#block = undefined;
    this.#blockBytes = 0;
  }
}

/**
 * Reads a body whose time is limited by its listener. What exceeds the limit is
 * read and dropped.
 *
 * @param maxBytes limit of the body
 *
 * @example
 * ```ts
 * const body = await collectBody(request, 256 * 1024);
 * if (body === "too-large") return refuse(413);
 * ```
 */
export function collectBody(
  request: http.IncomingMessage,
  maxBytes: number,
): Promise<Buffer | "too-large" | "broken"> {
  const body = new BodyCollector();
  if (request.destroyed) return Promise.resolve("broken");
  return new Promise((resolve) => {
    const onData = (part: Buffer) => {
      body.append(part);
      if (body.length <= maxBytes) return;
      body.clear();
      request.off("data", onData);
      request.resume();
      resolve("too-large");
    };
    request.on("data", onData);
    request.on("end", () => resolve(body.take()));
    request.on("error", () => resolve("broken"));
    request.on("close", () => resolve("broken"));
  });
}
