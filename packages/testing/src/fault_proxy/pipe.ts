import type { Buffer } from "node:buffer";
import type * as net from "node:net";
import type * as direction from "./direction.ts";

/** Bytes on their way at which reading pauses. */
const QUEUED_BYTES = 1_024 * 1_024;

/** Copies the bytes of one connection one way, with the faults of a direction. */
export class Pipe {
  readonly #from: net.Socket;
  readonly #to: net.Socket;
  readonly #direction: direction.Direction;
  readonly #timers = new Set<NodeJS.Timeout>();
  readonly #unsubscribe: () => void;
  #queuedBytes = 0;
  #lastDueMs = 0;
  #isBlackhole = false;
  #isHalfClosed = false;

  constructor(
    from: net.Socket,
    to: net.Socket,
    direction: direction.Direction,
  ) {
    this.#from = from;
    this.#to = to;
    this.#direction = direction;
    this.#unsubscribe = direction.onChange(() => this.#flow());
    from.on("data", (chunk) => this.#accept(chunk as Buffer));
    from.on("end", () => this.#schedule(0, () => this.#end()));
    to.on("drain", () => this.#flow());
    this.#flow();
  }

  /** Whether everything is dropped, also the end of the stream. */
  get isBlackhole(): boolean {
    return this.#isBlackhole;
  }

  /** Drops everything from now on, for good. */
  blackhole(): void {
    this.#isBlackhole = true;
    this.#flow();
  }

  /** Sends the end of the stream to the receiver at once. */
  halfClose(): void {
    this.#isHalfClosed = true;
    this.#to.end();
  }

  stop(): void {
    this.#unsubscribe();
    for (const timer of this.#timers) clearTimeout(timer);
    this.#timers.clear();
  }

  #accept(chunk: Buffer): void {
    if (this.#isBlackhole || this.#isHalfClosed) return;
    this.#queuedBytes += chunk.length;
    this.#schedule(chunk.length, () => {
      this.#queuedBytes -= chunk.length;
      this.#deliver(chunk);
    });
    this.#flow();
  }

  #schedule(bytes: number, action: () => void): void {
    const now = performance.now();
    const { delayMs, bytesPerSecond } = this.#direction;
    const sendMs = bytes / bytesPerSecond * 1_000;
    const dueMs = Math.max(now + delayMs, this.#lastDueMs) + sendMs;
    if (dueMs <= now && this.#timers.size === 0) return action();
    this.#lastDueMs = dueMs;
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      action();
      this.#flow();
    }, dueMs - now);
    this.#timers.add(timer);
  }

  #deliver(chunk: Buffer): void {
    if (this.#isBlackhole || this.#isHalfClosed || this.#to.destroyed) return;
    this.#direction.bytes += chunk.length;
    this.#to.write(chunk);
  }

  #end(): void {
    if (!this.#isBlackhole) this.#to.end();
  }

  /** Reads on or pauses, as faults and back-pressure demand. */
  #flow(): void {
    const isPaused = !this.#isBlackhole &&
      (this.#direction.isSilent || this.#queuedBytes > QUEUED_BYTES ||
        this.#to.writableNeedDrain);
    if (isPaused) this.#from.pause();
    else this.#from.resume();
  }
}
