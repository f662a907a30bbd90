/**
 * Retry budget: limits retries to a fraction of the requests, so that retries
 * cannot multiply the load on failing servers.
 *
 * @module
 */

/** Retries added to the budget per first attempt. */
export const RETRY_RATIO = 0.2;

/** Retries added per second, regardless of the request rate. */
export const MIN_RETRIES_PER_SECOND = 1;

/** Maximum number of retries that can accumulate in the budget. */
export const RETRY_BURST = 10;

/** Rate and burst of a retry budget. */
export type RetryBudgetOptions = {
  /** Retries added to the budget per first attempt. */
  readonly ratio: number;
  /** Retries added per second, regardless of the request rate. */
  readonly minPerSecond: number;
  /** Maximum number of retries that can accumulate in the budget. */
  readonly burst: number;
};

/** Default budget of one host. */
export const DEFAULT_RETRY_BUDGET: RetryBudgetOptions = {
  ratio: RETRY_RATIO,
  minPerSecond: MIN_RETRIES_PER_SECOND,
  burst: RETRY_BURST,
};

/** Token bucket of retries that is also filled by first attempts. */
export class RetryBudget {
  #options: RetryBudgetOptions;
  #available: number;
  #refilledAt: number;

  constructor(
    now: number,
    options: RetryBudgetOptions = DEFAULT_RETRY_BUDGET,
  ) {
    this.#options = options;
    this.#available = options.burst;
    this.#refilledAt = now;
  }

  /** Changes the options. A larger burst does not add retries by itself. */
  setOptions(options: RetryBudgetOptions): void {
    this.#options = options;
    this.#available = Math.min(this.#available, options.burst);
  }

  /** Records a first attempt. */
  deposit(): void {
    const { ratio, burst } = this.#options;
    this.#available = Math.min(burst, this.#available + ratio);
  }

  /** Withdraws one retry; returns false if the budget is exhausted. */
  tryWithdraw(now: number): boolean {
    const { minPerSecond, burst } = this.#options;
    const refill = (now - this.#refilledAt) / 1000 * minPerSecond;
    this.#available = Math.min(burst, this.#available + refill);
    this.#refilledAt = now;
    if (this.#available < 1) {
      return false;
    }
    this.#available--;
    return true;
  }
}
