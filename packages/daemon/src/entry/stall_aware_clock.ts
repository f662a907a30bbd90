/**
 * Time in which this process has listened to its connections.
 *
 * @module
 */

/** Time that one tick stands for, in milliseconds. */
const TICK_MS = 250;

/**
 * A clock that stands still while the process is stalled. What was not heard
 * in a stall may wait in the buffers of the connections: silence is measured
 * in attended time.
 *
 * @example
 * ```ts
 * using attended = new AttendedTime();
 * const heardAt = attended.ms;
 * const silenceMs = attended.ms - heardAt;
 * ```
 */
export class StallAwareClock implements Disposable {
  #ticks = 0;
  readonly #timer = setInterval(() => this.#ticks += 1, TICK_MS);

  constructor() {
    this.#timer.unref();
  }

  /** Attended time since the start, in milliseconds. */
  get nowMs(): number {
    return this.#ticks * TICK_MS;
  }

  [Symbol.dispose](): void {
    clearInterval(this.#timer);
  }
}
