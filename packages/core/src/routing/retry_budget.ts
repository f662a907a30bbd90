/**
 * Bounds retries to a part of the requests, so that they cannot multiply the
 * load of servers that already fail.
 *
 * @module
 */

/** Retries that each first attempt allows. */
export const RETRY_RATIO = 0.2;

/** Retries per second that are allowed however few requests there are. */
export const RETRIES_PER_SECOND = 1;

/** Most retries that can be saved up. */
export const MAX_SAVED_RETRIES = 10;

/** How many retries a budget allows. */
export type RetryAllowance = {
  /** Retries that each first attempt allows. */
  readonly ratio: number;
  /** Retries per second that are allowed however few requests there are. */
  readonly perSecond: number;
  /** Most retries that can be saved up. */
  readonly saved: number;
};

/** What one host allows itself where nothing else is set. */
export const DEFAULT_ALLOWANCE: RetryAllowance = {
  ratio: RETRY_RATIO,
  perSecond: RETRIES_PER_SECOND,
  saved: MAX_SAVED_RETRIES,
};

/** Retries that may be made now. */
export class RetryBudget {
  #allowance: RetryAllowance;
  #saved: number;
  #refilledAt: number;

  constructor(now: number, allowance: RetryAllowance = DEFAULT_ALLOWANCE) {
    this.#allowance = allowance;
    this.#saved = allowance.saved;
    this.#refilledAt = now;
  }

  /** Takes another allowance from now on; nothing is gained by that. */
  setAllowance(allowance: RetryAllowance): void {
    this.#allowance = allowance;
    this.#saved = Math.min(this.#saved, allowance.saved);
  }

  /** Notes a first attempt. */
  deposit(): void {
    const { ratio, saved } = this.#allowance;
    this.#saved = Math.min(saved, this.#saved + ratio);
  }

  /** Takes one retry out of the budget if it allows one. */
  withdraw(now: number): boolean {
    const { perSecond, saved } = this.#allowance;
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
