import * as timers from "node:timers/promises";
import * as core from "@ebonypath/core";
import { expect } from "chai";
import * as loadScheduler from "../../src/gateway/control/load_scheduler.ts";
import * as metrics from "../../src/gateway/metrics.ts";
import type * as orderExecutor from "../../src/gateway/control/order_executor.ts";

/** Time that a round of planning takes, in milliseconds. */
const ROUND_MS = 10;
/** Duration of a series of changes, in milliseconds. */
const CHANGES_MS = 1_500;
/** Rounds in a series, if they take a quarter of the time. */
const MAX_ROUNDS = CHANGES_MS / (4 * ROUND_MS) + 1;

describe("a load scheduler", () => {
  it("leaves most of the leader's time to other work, however much changes", async () => {
    let rounds = 0;
    using scheduler = new loadScheduler.LoadScheduler({
      executor: {} as orderExecutor.OrderExecutor,
      registry: new core.gateway.ServerRegistry(),
      demandTracker: new core.gateway.DemandTracker(),
      metrics: new metrics.GatewayMetrics(),
      configuration: () => {
        rounds += 1;
        const until = performance.now() + ROUND_MS;
        while (performance.now() < until);
        return null;
      },
      withdrawnDomains: () => [],
      canSendOrders: () => true,
    });
    const startedAt = performance.now();
    while (performance.now() < startedAt + CHANGES_MS) {
      scheduler.requestPlan();
      await timers.setTimeout(1);
    }
    expect(rounds).to.be.within(5, MAX_ROUNDS);
  });
});
