/**
 * A clock that excludes the time for which the process was stalled.
 *
 * @module
 */

/** Length of a tick, in milliseconds. */
const TICK_MS = 250;

/**
 * A clock that stops while the process is stalled. Data that arrived during a
 * stall may still be in the socket buffers, so the silence of a connection is
 * measured with this clock.
 *
 * @example
 * ```ts
 * using clock = new StallAwareClock();
 * const lastEventMs = clock.nowMs;
 * const silenceMs = clock.nowMs - lastEventMs;
 * ```
 */
export class StallAwareClock implements Disposable {
  #ticks = 0;
  readonly #timer = setInterval(() => this.#ticks += 1, TICK_MS);

  constructor() {
    this.#timer.unref();
  }

  /** Time since the start without stalls, in milliseconds. */
  get nowMs(): number {
    return this.#ticks * TICK_MS;
  }

  [Symbol.dispose](): void {
    clearInterval(this.#timer);
  }
}
