import { expect } from "chai";
import * as retryBudgets from "../../src/gateway/entry/retry_budgets.ts";
import * as retryBudgetProperty from "./retry_budget_property.ts";

describe("retry budgets of a fleet", () => {
  // Each host may save up one retry, so the budget holds only for fleets with
  // no more hosts than half of the slack.
  retryBudgetProperty.testFleetBudget(
    1,
    retryBudgetProperty.FLEET_BUDGET.slack / 2,
  );

  it("allow a host the few retries that it needs", () => {
    const budgets = new retryBudgets.RetryBudgets(
      retryBudgetProperty.FLEET_BUDGET,
    );
    budgets.setHostCount(9);
    let allowed = 0;
    for (let request = 0; request < 20; request += 1) {
      budgets.recordRequest("advice", request * 500);
      if (request % 10 === 0 && budgets.tryRetry("advice", request * 500)) {
        allowed += 1;
      }
    }
    expect(allowed).to.equal(2);
  });
});
