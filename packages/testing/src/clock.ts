/**
 * A clock that tests move by hand.
 *
 * @module
 */

/** Source of monotonic time. */
export interface Clock {
  /** Monotonic time in milliseconds. */
  now(): number;
}

/** A clock that stands still until it is advanced. */
export class ManualClock implements Clock {
  #nowMs: number;

  constructor(startMs = 0) {
    this.#nowMs = startMs;
  }

  now(): number {
    return this.#nowMs;
  }

  /**
   * Moves the clock forward.
   *
   * @example
   * ```ts
   * clock.advance(1_000);
   * ```
   */
  advance(byMs: number): void {
    if (byMs < 0) {
      throw new RangeError(`a clock cannot go back by ${-byMs} ms`);
    }
    this.#nowMs += byMs;
  }
}

/** Monotonic time of the process. */
export const systemClock: Clock = { now: () => performance.now() };
