const SECOND_MS = 1_000;

/** Rate and burst of a lending pool. */
export type LendingPoolOptions = {
  /** Units that become available per second. */
  readonly perSecond: number;
  /** Most units that can accumulate. */
  readonly burst: number;
};

/**
 * Stock of whole units of a limit that all entry hosts share. The leader lends
 * units to hosts that need them, so that a limit of less than one unit per host
 * can still be used in full. A unit counts as used once it is lent.
 *
 * A new leader doesn't know what the previous one has lent, so a pool starts
 * empty.
 *
 * @example
 * ```ts
 * const pool = new LendingPool({ perSecond: 12, burst: 4 }, now);
 * const units = pool.lend(3, now); // 0 to 3
 * ```
 */
export class LendingPool {
  #options: LendingPoolOptions;
  #available = 0;
  #refilledAt: number;

  constructor(options: LendingPoolOptions, now: number) {
    this.#options = options;
    this.#refilledAt = now;
  }

  /** Changes rate and burst; more burst adds no units by itself. */
  setOptions(options: LendingPoolOptions, now: number): void {
    this.#refill(now);
    this.#options = options;
    this.#available = Math.min(this.#available, options.burst);
  }

  /** Adds units, or fractions of units, up to the burst. */
  deposit(units: number): void {
    this.#available = Math.min(this.#options.burst, this.#available + units);
  }

  /** Lends at most the wanted number of whole units. */
  lend(wanted: number, now: number): number {
    this.#refill(now);
    const lent = Math.max(0, Math.min(wanted, Math.floor(this.#available)));
    this.#available -= lent;
    return lent;
  }

  #refill(now: number): void {
    const { burst, perSecond } = this.#options;
    const added = Math.max(0, now - this.#refilledAt) / SECOND_MS * perSecond;
    this.#available = Math.min(burst, this.#available + added);
    this.#refilledAt = now;
  }
}
