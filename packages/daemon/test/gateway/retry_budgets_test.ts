import { expect } from "chai";
import * as limitLender from "../../src/gateway/control/limit_lender.ts";
import * as retryBudgets from "../../src/gateway/entry/retry_budgets.ts";
import * as retryBudgetProperty from "./retry_budget_property.ts";

const { FLEET_BUDGET, testFleetBudget } = retryBudgetProperty;
const SERVICE = "advice";
/** Hosts that have a share of one retry or more of their own. */
const SMALL_FLEET = 9;
const LARGE_FLEET = 195;

/** A borrower that always or never gets a unit. */
function borrower(isLent: boolean) {
  return {
    asked: 0,
    take(): Promise<boolean> {
      this.asked += 1;
      return Promise.resolve(isLent);
    },
  };
}

describe("retry budgets of a fleet", () => {
  testFleetBudget(1, FLEET_BUDGET.slack / 2);
  testFleetBudget(FLEET_BUDGET.slack / 2, 2 * FLEET_BUDGET.slack);
  testFleetBudget(2 * FLEET_BUDGET.slack, 200);
  testFleetBudget(200, 1_100);

  it("allow a host the few retries that it needs", () => {
    const budgets = new retryBudgets.RetryBudgets(
      FLEET_BUDGET,
      borrower(false),
    );
    budgets.setHostCount(SMALL_FLEET, 0);
    let allowed = 0;
    for (let request = 0; request < 20; request += 1) {
      budgets.recordRequest(SERVICE, request * 500);
      if (request % 10 === 0 && budgets.tryRetry(SERVICE, request * 500)) {
        allowed += 1;
      }
    }
    expect(allowed).to.equal(2);
  });

  it("borrow where a share would be less than one retry", async () => {
    for (const isLent of [true, false]) {
      const lender = borrower(isLent);
      const budgets = new retryBudgets.RetryBudgets(FLEET_BUDGET, lender);
      budgets.setHostCount(LARGE_FLEET, 0);
      expect(await budgets.takeRetry(SERVICE, 0, 1_000)).to.equal(isLent);
      expect(lender.asked).to.equal(1);
    }
  });

  it("let a host that gets most of the requests use more than its part", async () => {
    const lender = new limitLender.LimitLender({
      retryBudget: FLEET_BUDGET,
      coldRequestsPerSecond: () => 0,
    });
    lender.lend(SMALL_FLEET, [{ service: SERVICE, count: 1 }], [], 0);
    let now = 0;
    const budgets = new retryBudgets.RetryBudgets(FLEET_BUDGET, {
      take: (limit, name) => {
        const wanted = [{ limit, name, units: 1 }];
        const lent = lender.lend(SMALL_FLEET, [], wanted, now);
        return Promise.resolve(lent.length > 0);
      },
    });
    budgets.setHostCount(SMALL_FLEET, 0);
    let allowed = 0;
    budgets.setHostCount(SMALL_FLEET, 60_000);
    // A server fails at the requests of one host.
    for (now = 60_000; now < 61_000; now += 100) {
      if (await budgets.takeRetry(SERVICE, now, 1_000)) allowed += 1;
    }
    expect(allowed).to.be.within(4, 6);
  });

  it("refuse at once where the leader has no reserve", async () => {
    const lender = borrower(false);
    const budget = { ratio: 0.2, slack: 13, windowMs: 10_000 };
    const budgets = new retryBudgets.RetryBudgets(budget, lender);
    budgets.setHostCount(3, 0);
    while (budgets.tryRetry(SERVICE, 0));
    expect(await budgets.takeRetry(SERVICE, 0, 1_000)).to.equal(false);
    expect(lender.asked).to.equal(0);
  });

  it("refuse at once while no leader answers that could lend", async () => {
    const lender = borrower(false);
    const budgets = new retryBudgets.RetryBudgets(FLEET_BUDGET, lender);
    budgets.setHostCount(SMALL_FLEET, 0);
    while (budgets.tryRetry(SERVICE, 3_000));
    expect(await budgets.takeRetry(SERVICE, 3_000, 1_000)).to.equal(false);
    expect(lender.asked).to.equal(0);
  });

  it("wait for a borrowed one while there is time to use it", async () => {
    let timeoutMs = 0;
    const budgets = new retryBudgets.RetryBudgets(FLEET_BUDGET, {
      take: (_limit, _name, longestMs) => {
        timeoutMs = longestMs;
        return Promise.resolve(false);
      },
    });
    await budgets.takeRetry(SERVICE, 0, 100);
    expect(timeoutMs).to.equal(50);
  });

  it("borrow until the number of hosts is known", async () => {
    const lender = borrower(false);
    const budgets = new retryBudgets.RetryBudgets(FLEET_BUDGET, lender);
    expect(await budgets.takeRetry(SERVICE, 0, 1_000)).to.equal(false);
    expect(lender.asked).to.equal(1);
  });

  it("do not grow when a new leader has not heard of all hosts", () => {
    const budgets = new retryBudgets.RetryBudgets(
      FLEET_BUDGET,
      borrower(false),
    );
    budgets.setHostCount(SMALL_FLEET, 0);
    const takeAll = (now: number) => {
      let taken = 0;
      while (budgets.tryRetry(SERVICE, now)) taken += 1;
      return taken;
    };
    const share = takeAll(0);
    budgets.setHostCount(1, 100);
    // Half of the used slack accrues in a window, over nine hosts.
    expect(takeAll(FLEET_BUDGET.windowMs)).to.be.at.most(share + 1);
    budgets.setHostCount(1, FLEET_BUDGET.windowMs + 200);
    expect(takeAll(2 * FLEET_BUDGET.windowMs)).to.be.above(share + 1);
  });
});
