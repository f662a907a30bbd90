import type * as core from "@ebonypath/core";
import { expect } from "chai";
import * as unservedReport from "../../src/gateway/control/unserved_report.ts";
import * as metrics from "../../src/gateway/metrics.ts";

function round(
  ages: readonly (readonly [string, number])[],
  obstacles: readonly (readonly [string, core.gateway.Obstacle])[] = [],
): unservedReport.UnservedRound {
  return {
    service: "advice",
    ages: new Map(ages),
    ends: [],
    obstacles: new Map(obstacles),
    orders: [],
    servers: [{
      id: "s1",
      softwareVersion: "v1",
      models: [{ name: "held", version: 1, adapters: [] }],
      isUsable: true,
      busyMs: 0,
      loading: "loading",
      inMemory: new Set(),
      onDisk: new Set(),
      running: new Map(),
      pendingAdapters: new Set(),
      unloadingAdapters: new Set(),
    }],
  };
}

describe("a report of unserved models", () => {
  it("counts those that were not served for long, by what is in their way", async () => {
    const gatewayMetrics = new metrics.GatewayMetrics();
    const report = new unservedReport.UnservedReport(gatewayMetrics);
    const ages = [
      ["a", 9_000],
      ["b", 30_500],
      ["held/a1", 8_000],
      ["loading", 8_500],
      ["young", 7_900],
    ] as const;
    report.add(round(ages, [["a", "no-victim"], ["b", "store-bound"]]), 0);
    const { values } = await gatewayMetrics.unservedModels.get();
    const counts = Object.fromEntries(
      values.map(({ labels, value }) => [labels.reason, value]),
    );
    expect(counts).to.deep.equal({
      "no-victim": 1,
      "store-bound": 1,
      held: 1,
      loading: 1,
    });
    const oldest = await gatewayMetrics.unservedOldest.get();
    expect(oldest.values[0]?.value).to.equal(30.5);
  });

  it("counts none once all were served", async () => {
    const gatewayMetrics = new metrics.GatewayMetrics();
    const report = new unservedReport.UnservedReport(gatewayMetrics);
    report.add(round([["a", 9_000]], [["a", "no-victim"]]), 0);
    report.add(round([]), 1_000);
    expect((await gatewayMetrics.unservedModels.get()).values).to.be.empty;
    const oldest = await gatewayMetrics.unservedOldest.get();
    expect(oldest.values[0]?.value).to.equal(0);
  });

  it("leaves no counts behind when its host leads no more", async () => {
    const gatewayMetrics = new metrics.GatewayMetrics();
    {
      using report = new unservedReport.UnservedReport(gatewayMetrics);
      report.add(round([["a", 9_000]], [["a", "no-victim"]]), 0);
    }
    expect((await gatewayMetrics.unservedModels.get()).values).to.be.empty;
    const oldest = await gatewayMetrics.unservedOldest.get();
    expect(oldest.values[0]?.value).to.equal(0);
  });
});
