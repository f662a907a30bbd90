/**
 * Limits the retries of this host to its share of the fleet's retry budget.
 *
 * @module
 */
import * as core from "@ebonypath/core";

/**
 * Fraction of the fleet's budget that hosts use. The rest covers the delay with
 * which hosts learn of changes, such as a new number of hosts.
 */
const USED_FRACTION = 0.6;

/** Retries that all hosts together may send to each service. */
export interface FleetRetryBudget {
  /** Retries per request. */
  readonly ratio: number;
  /** Additional retries in each window. */
  readonly slack: number;
  /** Length of a window, in milliseconds. */
  readonly windowMs: number;
}

const SECOND_MS = 1_000;

/** Retry budgets of one host, by service. */
export class RetryBudgets {
  readonly #fleetBudget: FleetRetryBudget;
  readonly #budgets = new Map<string, core.routing.RetryBudget>();
  #hostCount = 1;

  constructor(fleetBudget: FleetRetryBudget) {
    this.#fleetBudget = fleetBudget;
  }

  /** Sets the number of hosts that share the fleet's budget. */
  setHostCount(hostCount: number): void {
    if (hostCount === this.#hostCount || hostCount < 1) return;
    this.#hostCount = hostCount;
    for (const budget of this.#budgets.values()) {
      budget.setOptions(this.#budgetOptions());
    }
  }

  /** Records the first attempt of a request. */
  recordRequest(service: string, now: number): void {
    this.#budgetOf(service, now).deposit();
  }

  /** Takes a retry from the budget; returns false if none is left. */
  tryRetry(service: string, now: number): boolean {
    return this.#budgetOf(service, now).tryWithdraw(now);
  }

  /**
   * Half of this host's share of the slack, but at least one retry, may be saved
   * up for a burst; the other half accrues at a constant rate.
   */
  #budgetOptions(): core.routing.RetryBudgetOptions {
    const { ratio, slack, windowMs } = this.#fleetBudget;
    const hostSlack = slack * USED_FRACTION / this.#hostCount;
    return {
      ratio: ratio * USED_FRACTION,
      burst: Math.max(1, hostSlack / 2),
      minPerSecond: hostSlack / 2 / (windowMs / SECOND_MS),
    };
  }

  #budgetOf(service: string, now: number): core.routing.RetryBudget {
    const budget = this.#budgets.get(service) ??
      new core.routing.RetryBudget(now, this.#budgetOptions());
    this.#budgets.set(service, budget);
    return budget;
  }
}
