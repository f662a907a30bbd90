/**
 * Memory for responses that are held until they are complete, and until their
 * callers have received them.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { errors } from "@ebonypath/protocol";
import * as log from "../../log/mod.ts";

const write = log.createLog("buffer");

/** Size of a buffer's first block, in bytes. */
const MIN_BLOCK_BYTES = 1_024;
/** Size of a buffer's later blocks, in bytes. */
const MAX_BLOCK_BYTES = 64 * 1_024;

/** A response needs more memory than one response, or all of them, may hold. */
export class BufferLimitError extends errors.StepError {
  override readonly name = "BufferLimitError";
}

/** Limits and callbacks of a {@link ResponseBuffer}. */
export interface ResponseBufferOptions {
  /** Id of the server whose response it is. */
  readonly peer: string;
  /** Limit of this buffer, in bytes. */
  readonly maxBytes: number;
  /** Called once if its content is dropped because of a limit. */
  onOverflow(error: BufferLimitError): void;
}

/**
 * Limits what all buffers hold together. If they exceed the limit, the largest
 * one is dropped, so that oversized responses don't cost others theirs.
 *
 * @example
 * ```ts
 * const budget = new BufferBudget(48 * 1024 * 1024);
 * const buffer = budget.open({ peer, maxBytes, onOverflow: cancel });
 * message.on("data", (part) => buffer.append(part));
 * ```
 */
export class BufferBudget {
  readonly #maxBytes: number;
  readonly #buffers = new Set<ResponseBuffer>();
  #bytes = 0;

  /** @param maxBytes limit of all buffers together */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Memory of all buffers, in bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Fraction of the limit that is used, from 0 to 1. */
  get use(): number {
    return this.#bytes / this.#maxBytes;
  }

  /** Opens an empty buffer, which the caller must release. */
  open(options: ResponseBufferOptions): ResponseBuffer {
    const buffer = new ResponseBuffer(options, (bytes) => {
      this.#bytes += bytes;
      if (buffer.capacity === 0) this.#buffers.delete(buffer);
      else this.#buffers.add(buffer);
      if (bytes > 0) this.#dropLargest();
    });
    return buffer;
  }

  #dropLargest(): void {
    while (this.#bytes > this.#maxBytes) {
      let largest: ResponseBuffer | undefined;
      for (const buffer of this.#buffers) {
        if (buffer.capacity > (largest?.capacity ?? 0)) largest = buffer;
      }
      if (largest === undefined) return;
      largest.drop(
        `all buffered answers together exceed ${this.#maxBytes} bytes`,
      );
    }
  }
}

/**
 * Bytes of one response. They are copied into blocks, because a response in
 * small chunks would otherwise take many times its length for their objects.
 */
export class ResponseBuffer implements Disposable {
  #options: ResponseBufferOptions;
  readonly #onResize: (bytes: number) => void;
  #blocks: Buffer[] = [];
  /** Number of bytes in the last block that are in use. */
  #lastBlockBytes = 0;
  #length = 0;
  #capacity = 0;
  #overflow: BufferLimitError | undefined;

  /** @param onResize called with each change of the capacity, in bytes */
  constructor(
    options: ResponseBufferOptions,
    onResize: (bytes: number) => void,
  ) {
    this.#options = options;
    this.#onResize = onResize;
  }

  /** Number of bytes that were appended. */
  get length(): number {
    return this.#length;
  }

  /** Memory that is reserved, in bytes. */
  get capacity(): number {
    return this.#capacity;
  }

  /** Why the content was dropped, if it was. */
  get overflow(): BufferLimitError | undefined {
    return this.#overflow;
  }

  /** The content, in parts. */
  get parts(): readonly Buffer[] {
    const last = this.#blocks.length - 1;
    return this.#blocks.map((block, index) =>
      index < last ? block : block.subarray(0, this.#lastBlockBytes)
    );
  }

  /** Replaces what happens when the content is dropped. */
  setOverflowHandler(onOverflow: ResponseBufferOptions["onOverflow"]): void {
    this.#options = { ...this.#options, onOverflow };
  }

  /** Appends bytes, unless that exceeds a limit or the content was dropped. */
  append(part: Buffer): void {
    const { maxBytes } = this.#options;
    if (this.#overflow !== undefined || part.length === 0) return;
    if (this.#length + part.length > maxBytes) {
      return this.drop(`the answer exceeds ${maxBytes} bytes`);
    }
    const last = this.#blocks.at(-1);
    const copied = last === undefined
      ? 0
      : part.copy(last, this.#lastBlockBytes);
    this.#lastBlockBytes += copied;
    this.#length += copied;
    if (copied < part.length) this.#addBlock(part.subarray(copied));
  }

  /** Drops the content and reports the reason. */
  drop(reason: string): void {
    if (this.#overflow !== undefined) return;
    const { onOverflow, peer } = this.#options;
    write("dropped", { server: peer, bytes: this.#length, reason });
    this.#overflow = new BufferLimitError("buffer", peer, reason);
    this[Symbol.dispose]();
    onOverflow(this.#overflow);
  }

  /** Releases the memory. The buffer is empty then and can be used again. */
  [Symbol.dispose](): void {
    const capacity = this.#capacity;
    this.#blocks = [];
    this.#lastBlockBytes = 0;
    this.#length = 0;
    this.#capacity = 0;
    if (capacity > 0) this.#onResize(-capacity);
  }

  #addBlock(bytes: Buffer): void {
    const usual = Math.max(
      MIN_BLOCK_BYTES,
      Math.min(this.#capacity, MAX_BLOCK_BYTES),
    );
    const block = Buffer.allocUnsafeSlow(Math.max(usual, bytes.length));
    this.#blocks.push(block);
    this.#lastBlockBytes = bytes.copy(block);
    this.#length += bytes.length;
    this.#capacity += block.length;
    this.#onResize(block.length);
  }
}
