/** Limits for loads from the weight store. */
export interface StoreLimits {
  /** Maximum number of loads started within one second. */
  readonly startsPerSecond: number;
  /** Maximum number of loads running at once. */
  readonly concurrentLoads: number;
  /** Maximum number of adapter loads running at once. */
  readonly concurrentAdapters: number;
}

export const DEFAULT_STORE_LIMITS: StoreLimits = {
  startsPerSecond: 4,
  concurrentLoads: 4,
  concurrentAdapters: 30,
};

const WINDOW_MS = 1_000;
/** A load that takes this many times its expected duration counts as slow. */
const SLOW_LOAD_FACTOR = 2;
/** Part of a removed slot that each load of normal duration restores. */
const SLOT_RECOVERY = 0.25;

/**
 * Limits loads from the weight store: a sliding window bounds the starts per
 * second, and a concurrency limit, which is reduced while loads take longer
 * than expected, bounds the loads running at once.
 *
 * A new leader does not know which loads its predecessor started in the last
 * second, so the limiter starts with a full window.
 *
 * @example
 * ```ts
 * if (limiter.admitsModelLoad(running, nowMs)) limiter.recordStart(nowMs);
 * ```
 */
export class StoreLoadLimiter {
  readonly #limits: StoreLimits;
  #starts: number[];
  #slots: number;

  constructor(limits: StoreLimits, nowMs: number) {
    this.#limits = limits;
    this.#slots = limits.concurrentLoads;
    this.#starts = new Array(limits.startsPerSecond).fill(nowMs);
  }

  /** Current maximum number of loads running at once. */
  get concurrencyLimit(): number {
    return Math.max(1, Math.floor(this.#slots));
  }

  /** Whether a model load may start while `running` others are running. */
  admitsModelLoad(running: number, nowMs: number): boolean {
    return running < this.concurrencyLimit &&
      this.#rateLimitWaitMs(nowMs) === 0;
  }

  /** Whether an adapter load may start while `running` others are running. */
  admitsAdapterLoad(running: number): boolean {
    return running < this.#limits.concurrentAdapters;
  }

  recordStart(nowMs: number): void {
    this.#starts.push(nowMs);
    if (this.#starts.length > this.#limits.startsPerSecond) {
      this.#starts.shift();
    }
  }

  /** Adjusts the concurrency limit to the duration of a completed load. */
  recordDuration(durationMs: number, expectedMs: number): void {
    const slow = durationMs > SLOW_LOAD_FACTOR * expectedMs;
    const slots = slow ? this.#slots - 1 : this.#slots + SLOT_RECOVERY;
    const maxSlots = this.#limits.concurrentLoads;
    this.#slots = Math.min(maxSlots, Math.max(1, slots));
  }

  /**
   * Expected wait of a load, in milliseconds.
   *
   * @param ahead number of loads before it, running or queued
   */
  expectedWaitMs(ahead: number, loadMs: number, nowMs: number): number {
    const rounds = Math.floor(ahead / this.concurrencyLimit);
    return Math.max(rounds * loadMs, this.#rateLimitWaitMs(nowMs));
  }

  #rateLimitWaitMs(nowMs: number): number {
    const oldest = this.#starts[0];
    if (oldest === undefined) return 0;
    if (this.#starts.length < this.#limits.startsPerSecond) return 0;
    return Math.max(0, oldest + WINDOW_MS - nowMs);
  }
}
