/**
 * Bounds retries to a part of the requests, so that they cannot multiply the
 * load of servers that already fail.
 *
 * @module
 */

/** Retries that each first attempt allows. */
export const RETRY_RATIO = 0.2;

/** Retries per second that are allowed however few requests there are. */
export const MIN_RETRIES_PER_SECOND = 1;

/** Most retries that can be saved up. */
export const RETRY_BURST = 10;

/** How many retries a budget allows. */
export type RetryBudgetOptions = {
  /** Retries that each first attempt allows. */
  readonly ratio: number;
  /** Retries per second that are allowed however few requests there are. */
  readonly minPerSecond: number;
  /** Most retries that can be saved up. */
  readonly burst: number;
};

/** What one host allows itself where nothing else is set. */
export const DEFAULT_RETRY_BUDGET: RetryBudgetOptions = {
  ratio: RETRY_RATIO,
  minPerSecond: MIN_RETRIES_PER_SECOND,
  burst: RETRY_BURST,
};

/** Retries that may be made now. */
export class RetryBudget {
  #allowance: RetryBudgetOptions;
  #saved: number;
  #refilledAt: number;

  constructor(
    now: number,
    allowance: RetryBudgetOptions = DEFAULT_RETRY_BUDGET,
  ) {
    this.#allowance = allowance;
    this.#saved = allowance.burst;
    this.#refilledAt = now;
  }

  /** Takes another allowance from now on; nothing is gained by that. */
  setOptions(allowance: RetryBudgetOptions): void {
    this.#allowance = allowance;
    this.#saved = Math.min(this.#saved, allowance.burst);
  }

  /** Notes a first attempt. */
  deposit(): void {
    const { ratio, burst: saved } = this.#allowance;
    this.#saved = Math.min(saved, this.#saved + ratio);
  }

  /** Takes one retry out of the budget if it allows one. */
  tryWithdraw(now: number): boolean {
    const { minPerSecond: perSecond, burst: saved } = this.#allowance;
    const refill = (now - this.#refilledAt) / 1000 * perSecond;
    this.#saved = Math.min(saved, this.#saved + refill);
    this.#refilledAt = now;
    if (this.#saved < 1) {
      return false;
    }
    this.#saved--;
    return true;
  }
}
