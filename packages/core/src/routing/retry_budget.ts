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

/** Retries that may be made now. */
export class RetryBudget {
  #saved = MAX_SAVED_RETRIES;
  #refilledAt: number;

  constructor(now: number) {
    this.#refilledAt = now;
  }

  /** Notes a first attempt. */
  deposit(): void {
    this.#saved = Math.min(MAX_SAVED_RETRIES, this.#saved + RETRY_RATIO);
  }

  /** Takes one retry out of the budget if it allows one. */
  withdraw(now: number): boolean {
    const refill = (now - this.#refilledAt) / 1000 * RETRIES_PER_SECOND;
    this.#saved = Math.min(MAX_SAVED_RETRIES, this.#saved + refill);
    this.#refilledAt = now;
    if (this.#saved < 1) {
      return false;
    }
    this.#saved--;
    return true;
  }
}
