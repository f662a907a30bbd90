/** Limits of the weight store. */
export interface StoreLimits {
  /** Loads that may start within one second. */
  readonly startsPerSecond: number;
  /** Loads that may run at once. */
  readonly concurrentLoads: number;
  /** Adapters that may be loading at once. */
  readonly concurrentAdapters: number;
}

export const DEFAULT_STORE_LIMITS: StoreLimits = {
  startsPerSecond: 4,
  concurrentLoads: 4,
  concurrentAdapters: 30,
};

const WINDOW_MS = 1_000;
/** A load this many times slower than expected means a slow store. */
const SLOW_FACTOR = 2;
/** How much of a lost slot each load at the expected speed gives back. */
const RECOVERY = 0.25;

/**
 * Admits loads from the weight store: at most so many starts in any second and
 * so many at once, fewer while the store is slower than expected.
 *
 * The starts of an earlier leader are not known, so that a new one begins with
 * a full window.
 *
 * @example
 * ```ts
 * if (gate.admits(running, nowMs)) gate.start(nowMs);
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

  /** Loads that may run at once now. */
  get concurrencyLimit(): number {
    return Math.max(1, Math.floor(this.#slots));
  }

  /** Whether a load may start while `running` others run. */
  admitsModelLoad(running: number, nowMs: number): boolean {
    return running < this.concurrencyLimit && this.#windowWaitMs(nowMs) === 0;
  }

  admitsAdapterLoad(running: number): boolean {
    return running < this.#limits.concurrentAdapters;
  }

  /** Records that a load starts. */
  recordStart(nowMs: number): void {
    this.#starts.push(nowMs);
    if (this.#starts.length > this.#limits.startsPerSecond) {
      this.#starts.shift();
    }
  }

  /** Learns from a load that took `durationMs` instead of `expectedMs`. */
  recordDuration(durationMs: number, expectedMs: number): void {
    const slow = durationMs > SLOW_FACTOR * expectedMs;
    const slots = slow ? this.#slots - 1 : this.#slots + RECOVERY;
    const most = this.#limits.concurrentLoads;
    this.#slots = Math.min(most, Math.max(1, slots));
  }

  /**
   * Expected wait of a load behind `ahead` others, running or queued, in
   * milliseconds.
   */
  expectedWaitMs(ahead: number, loadMs: number, nowMs: number): number {
    const rounds = Math.floor(ahead / this.concurrencyLimit);
    return Math.max(rounds * loadMs, this.#windowWaitMs(nowMs));
  }

  #windowWaitMs(nowMs: number): number {
    const oldest = this.#starts[0];
    if (oldest === undefined) return 0;
    if (this.#starts.length < this.#limits.startsPerSecond) return 0;
    return Math.max(0, oldest + WINDOW_MS - nowMs);
  }
}
