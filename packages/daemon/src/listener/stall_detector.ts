import type * as http from "node:http";
import * as timers from "node:timers";
import { isCallerWaiting } from "./caller_connection.ts";

/** Interval of the timer that shows when the event loop last turned, in ms. */
const CHECK_INTERVAL_MS = 100;
/**
 * Delay of that timer that counts as a stall, in milliseconds. Callers wait for
 * longer before they give up.
 */
const STALL_MS = 250;
/** Time after a stall in which what has arrived meanwhile is read, in ms. */
const READ_MS = 1_000;
/** After a stall, callers that have left have closed their connections before. */
const ALREADY_CLOSED_MS = 0;

/**
 * Tells whether requests that are read now may have waited for long, because the
 * process was suspended or busy. Which of a timer and a request is handled first
 * after a stall is not certain.
 *
 * @example
 * ```ts
 * using stalls = new StallDetector();
 * if (!await stalls.isCallerPresent(request)) return response.destroy();
 * ```
 */
export class StallDetector implements Disposable {
  readonly #clock: () => number;
  readonly #timer: NodeJS.Timeout;
  #turnedAt: number;
  #stalledUntil = -Infinity;

  /** @param clock monotonic clock in milliseconds, for tests */
  constructor(clock: () => number = () => performance.now()) {
    this.#clock = clock;
    this.#turnedAt = clock();
    this.#timer = timers.setInterval(
      () => this.recordTurn(),
      CHECK_INTERVAL_MS,
    );
    this.#timer.unref();
  }

  /** Whether the event loop has stood still until now, or did so lately. */
  isAfterStall(): boolean {
    const now = this.#clock();
    return this.#isStalled(now) || now < this.#stalledUntil;
  }

  /**
   * Whether the caller of a request may still wait for its answer. Only requests
   * that may have waited are looked at more closely.
   */
  async isCallerPresent(request: http.IncomingMessage): Promise<boolean> {
    return !this.isAfterStall() ||
      await isCallerWaiting(request, ALREADY_CLOSED_MS);
  }

  /** Records that the event loop turns. */
  recordTurn(): void {
    const now = this.#clock();
    if (this.#isStalled(now)) this.#stalledUntil = now + READ_MS;
    this.#turnedAt = now;
  }

  #isStalled(now: number): boolean {
    return now - this.#turnedAt > CHECK_INTERVAL_MS + STALL_MS;
  }

  [Symbol.dispose](): void {
    timers.clearInterval(this.#timer);
  }
}
