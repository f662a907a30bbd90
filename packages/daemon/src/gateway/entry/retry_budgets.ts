/**
 * Limits the retries of this host to its part of the fleet's retry budget.
 *
 * In a small fleet each host has a share of its own, and borrows from a reserve
 * of the leader when it has used it up. Where a share would be less than one
 * retry, hosts borrow all of them.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import type * as unitBorrower from "./unit_borrower.ts";

/** Longest wait for a borrowed retry, in milliseconds. */
const BORROW_TIMEOUT_MS = 300;
/**
 * Time after the leader's last answer from which on there is nothing to borrow
 * of its reserve, in milliseconds: hosts report every 2 s or more often.
 */
const MAX_LEADER_SILENCE_MS = 2_500;
/** Part of a request's time left that it waits at most; the retry needs the rest. */
const BORROW_TIME_FRACTION = 0.5;

/** Retry budgets of one host, by service. */
export class RetryBudgets {
  readonly #fleetBudget: core.gateway.FleetRetryBudget;
  readonly #borrower: Pick<unitBorrower.UnitBorrower, "take">;
  readonly #budgets = new Map<string, core.routing.RetryBudget>();
  /** First attempts since the last report, by service. */
  #requests = new Map<string, number>();
  /** Numbers of hosts that were told within the last window. */
  #hostCounts: { readonly count: number; readonly at: number }[] = [];
  #hostCount = Infinity;
  /** Time of the leader's last answer. */
  #toldAt = -Infinity;

  constructor(
    fleetBudget: core.gateway.FleetRetryBudget,
    borrower: Pick<unitBorrower.UnitBorrower, "take">,
  ) {
    this.#fleetBudget = fleetBudget;
    this.#borrower = borrower;
  }

  /**
   * Sets the number of hosts that share the fleet's budget, as each answer of the
   * leader tells it. A smaller number
   * takes effect after a window: a new leader has not heard of all hosts yet.
   */
  setHostCount(count: number, now: number): void {
    if (count < 1) return;
    this.#toldAt = now;
    const oldest = now - this.#fleetBudget.windowMs;
    this.#hostCounts = [
      ...this.#hostCounts.filter((told) =>
        told.at > oldest && told.count > count
      ),
      { count, at: now },
    ];
    const largest = Math.max(...this.#hostCounts.map((told) => told.count));
    if (largest === this.#hostCount) return;
    this.#hostCount = largest;
    for (const budget of this.#budgets.values()) {
      budget.setOptions(this.#budgetOptions());
    }
  }

  /**
   * Number of hosts that share the budget, this one included; `Infinity` before
   * the leader's first answer.
   */
  get hostCount(): number {
    return this.#hostCount;
  }

  /** Records the first attempt of a request. */
  recordRequest(service: string, now: number): void {
    this.#requests.set(service, (this.#requests.get(service) ?? 0) + 1);
    if (!this.#isLent) this.#budgetOf(service, now).deposit();
  }

  /** First attempts since the last call, for the report to the leader. */
  collectRequests(): gateway.RequestCount[] {
    const requests = this.#requests;
    this.#requests = new Map();
    return [...requests].map(([service, count]) => ({ service, count }));
  }

  /** Takes a retry of this host's own share; false if there is none. */
  tryRetry(service: string, now: number): boolean {
    return !this.#isLent && this.#budgetOf(service, now).tryWithdraw(now);
  }

  /** Takes a retry of this host's share, or a borrowed one if that is used up. */
  async takeRetry(
    service: string,
    now: number,
    remainingMs: number,
  ): Promise<boolean> {
    if (this.tryRetry(service, now)) return true;
    if (!this.#canBorrow(now)) return false;
    const timeoutMs = Math.min(
      BORROW_TIMEOUT_MS,
      remainingMs * BORROW_TIME_FRACTION,
    );
    if (timeoutMs <= 0) return false;
    return await this.#borrower.take("retries", service, timeoutMs);
  }

  #canBorrow(now: number): boolean {
    if (this.#hostCount === 1) return false;
    if (this.#isLent) return true;
    return now - this.#toldAt <= MAX_LEADER_SILENCE_MS &&
      core.gateway.canBorrowRetries(this.#fleetBudget, this.#hostCount);
  }

  get #isLent(): boolean {
    return core.gateway.areRetriesLent(this.#fleetBudget, this.#hostCount);
  }

  #budgetOptions(): core.routing.RetryBudgetOptions {
    const { burst, perRequest, perSecond } = core.gateway.retryAllowance(
      this.#fleetBudget,
    );
    return {
      ratio: perRequest,
      burst: burst / this.#hostCount,
      minPerSecond: perSecond / this.#hostCount,
    };
  }

  #budgetOf(service: string, now: number): core.routing.RetryBudget {
    const budget = this.#budgets.get(service) ??
      new core.routing.RetryBudget(now, this.#budgetOptions());
    this.#budgets.set(service, budget);
    return budget;
  }
}
