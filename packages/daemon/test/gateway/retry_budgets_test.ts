import { expect } from "chai";
import * as retryBudgets from "../../src/gateway/entry/retry_budgets.ts";
import * as retryBudgetProperty from "./retry_budget_property.ts";

describe("retries of a fleet", () => {
  // Each host may save one retry up: they are fewer than half of the slack.
  retryBudgetProperty.testFleetBudget(
    1,
    retryBudgetProperty.FLEET_BUDGET.slack / 2,
  );

  it("are not refused to a single host that needs few", () => {
    const member = new retryBudgets.RetryBudgets(
      retryBudgetProperty.FLEET_BUDGET,
    );
    member.setHostCount(9);
    let allowed = 0;
    for (let at = 0; at < 20; at += 1) {
      member.recordRequest("advice", at * 500);
      if (at % 10 === 0 && member.tryRetry("advice", at * 500)) allowed += 1;
    }
    expect(allowed).to.equal(2);
  });
});
