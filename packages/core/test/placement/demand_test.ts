import { expect } from "chai";
import type * as protocol from "@ebonypath/protocol";
import * as demand from "../../src/placement/demand.ts";

function demandOf(
  target: string,
  fields: Partial<protocol.control.Demand> = {},
): protocol.control.Demand {
  return {
    target,
    waiting: 1,
    running: 0,
    earliestDeadlineMs: 1_000,
    arrivals: 1,
    ...fields,
  };
}

describe("DemandAggregator", () => {
  it("sums up the latest report of each host, earliest deadline first", () => {
    const aggregator = new demand.DemandAggregator();
    aggregator.report("h1", [demandOf("a"), demandOf("b", { running: 2 })], 0);
    aggregator.report("h1", [demandOf("a", { waiting: 3 }), demandOf("b")], 10);
    aggregator.report("h2", [demandOf("b", { earliestDeadlineMs: 100 })], 20);
    expect(aggregator.list(20)).to.deep.equal([
      { target: "b", waiting: 2, running: 0, deadlineMs: 120, mayEvict: true },
      {
        target: "a",
        waiting: 3,
        running: 0,
        deadlineMs: 1_010,
        mayEvict: true,
      },
    ]);
    expect(aggregator.get("b", 20)?.waiting).to.equal(2);
    expect(aggregator.get("c", 20)).to.equal(undefined);
  });

  it("replaces reports, and drops those that have expired", () => {
    const aggregator = new demand.DemandAggregator();
    aggregator.report("h1", [demandOf("a")], 0);
    aggregator.report("h2", [demandOf("a")], 1_000);
    expect(aggregator.get("a", 1_000)?.waiting).to.equal(2);
    aggregator.report("h2", [demandOf("a", { waiting: 4 })], 2_000);
    expect(aggregator.get("a", 5_000)?.waiting).to.equal(5);
    expect(aggregator.get("a", 5_001)?.waiting).to.equal(4);
    aggregator.remove("h2");
    expect(aggregator.get("a", 5_001)).to.equal(undefined);
  });
});
