import { expect } from "chai";
import type * as protocol from "@ebonypath/protocol";
import * as demand from "../../src/placement/demand.ts";

function row(
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

describe("demand of the fleet", () => {
  it("is the sum of the newest reports, the earliest deadline first", () => {
    const table = new demand.DemandAggregator();
    table.report("h1", [row("a"), row("b", { running: 2 })], 0);
    table.report("h1", [row("a", { waiting: 3 }), row("b")], 10);
    table.report("h2", [row("b", { earliestDeadlineMs: 100 })], 20);
    expect(table.needs(20)).to.deep.equal([
      { target: "b", waiting: 2, running: 0, deadlineMs: 120, mayEvict: true },
      {
        target: "a",
        waiting: 3,
        running: 0,
        deadlineMs: 1_010,
        mayEvict: true,
      },
    ]);
    expect(table.of("b", 20)?.waiting).to.equal(2);
    expect(table.of("c", 20)).to.equal(undefined);
  });

  it("follows each new report, and forgets hosts that fell silent", () => {
    const table = new demand.DemandAggregator();
    table.report("h1", [row("a")], 0);
    table.report("h2", [row("a")], 1_000);
    expect(table.of("a", 1_000)?.waiting).to.equal(2);
    table.report("h2", [row("a", { waiting: 4 })], 2_000);
    expect(table.of("a", 5_000)?.waiting).to.equal(5);
    expect(table.of("a", 5_001)?.waiting).to.equal(4);
    table.remove("h2");
    expect(table.of("a", 5_001)).to.equal(undefined);
  });
});
