/**
 * Retries that this host may send, as its part of what the fleet may.
 *
 * @module
 */
import * as core from "@ebonypath/core";

/** Part of the fleet's budget that hosts use; the rest covers their lags. */
const USED_PART = 0.6;

/** What all hosts together may send again to one service. */
export interface FleetRetries {
  /** Retries for each request. */
  readonly ratio: number;
  /** Retries in a window beyond those. */
  readonly slack: number;
  readonly windowMs: number;
}

const SECOND_MS = 1_000;

/** Budgets of one host, one for each service. */
export class Retries {
  readonly #fleet: FleetRetries;
  readonly #budgets = new Map<string, core.routing.RetryBudget>();
  #hosts = 1;

  constructor(fleet: FleetRetries) {
    this.#fleet = fleet;
  }

  /** Divides the fleet's budget among so many hosts. */
  setHosts(hosts: number): void {
    if (hosts === this.#hosts || hosts < 1) return;
    this.#hosts = hosts;
    for (const budget of this.#budgets.values()) {
      budget.setOptions(this.#allowance());
    }
  }

  /** Notes the first attempt of a request. */
  first(service: string, now: number): void {
    this.#budgetOf(service, now).deposit();
  }

  /** Whether a request may be sent again now. */
  again(service: string, now: number): boolean {
    return this.#budgetOf(service, now).tryWithdraw(now);
  }

  /** Half of a host's part can be saved up, the other half comes evenly. */
  #allowance(): core.routing.RetryBudgetOptions {
    const { ratio, slack, windowMs } = this.#fleet;
    const part = slack * USED_PART / this.#hosts;
    return {
      ratio: ratio * USED_PART,
      burst: Math.max(1, part / 2),
      minPerSecond: part / 2 / (windowMs / SECOND_MS),
    };
  }

  #budgetOf(service: string, now: number): core.routing.RetryBudget {
    const known = this.#budgets.get(service) ??
      new core.routing.RetryBudget(now, this.#allowance());
    this.#budgets.set(service, known);
    return known;
  }
}
