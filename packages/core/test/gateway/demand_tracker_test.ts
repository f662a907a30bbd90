import { expect } from "chai";
import * as core from "../../src/gateway/mod.ts";

const SERVICE = "advice";

function report(
  host: string,
  running: number,
  slacksMs: number[] = [],
  arrivals = 0,
): core.DemandReport {
  return {
    host,
    demand: [{ service: SERVICE, model: "m1", slacksMs, running, arrivals }],
    load: running === 0 ? [] : [{ server: "s1", model: "m1", running }],
  };
}

describe("gateway demand tracker", () => {
  it("replaces what a host reported before", () => {
    const tracker = new core.DemandTracker();
    tracker.addReport(report("h1", 3), 0);
    tracker.addReport(report("h2", 2), 0);
    expect(tracker.loadOf("s1")).to.equal(5);
    expect(tracker.runningOn("s1").get("m1")).to.equal(5);
    tracker.addReport(report("h1", 1), 10);
    expect(tracker.loadOf("s1")).to.equal(3);
    tracker.addReport(report("h1", 0), 20);
    tracker.addReport(report("h2", 0), 20);
    expect(tracker.loadOf("s1")).to.equal(0);
    expect(tracker.runningOn("s1").size).to.equal(0);
  });

  it("lets waiting requests grow later between reports", () => {
    const tracker = new core.DemandTracker();
    tracker.addReport(report("h1", 0, [500, 100]), 0);
    tracker.addReport(report("h2", 0, [50]), 100);
    const [demand] = tracker.aggregate(SERVICE, 200);
    expect(demand?.slacksMs.toSorted((one, other) => one - other))
      .to.deep.equal([-100, -50, 300]);
  });

  it("expects callers that were told to come back until they are overdue", () => {
    const tracker = new core.DemandTracker();
    const { demand: [waiting] } = report("h1", 0, [1_500]);
    if (waiting === undefined) throw new Error("no demand");
    const demand = [{ ...waiting, returningMs: [1_500] }];
    tracker.addReport({ host: "h1", demand, load: [] }, 0);
    const dueAt = (now: number) =>
      tracker.aggregate(SERVICE, now)[0]?.returningMs;
    expect(dueAt(500)).to.deep.equal([1_000]);
    expect(dueAt(2_000)).to.deep.equal([-500]);
    expect(dueAt(4_000)).to.deep.equal([]);
  });

  it("counts callers that come back among the waiting ones as long", () => {
    const tracker = new core.DemandTracker();
    const [waiting] = report("h1", 0, [400, 1_500]).demand;
    if (waiting === undefined) throw new Error("no demand");
    const expected = { ...waiting, returningMs: [1_500] };
    tracker.addReport({ host: "h1", demand: [expected], load: [] }, 0);
    const slacksAt = (now: number) =>
      tracker.aggregate(SERVICE, now)[0]?.slacksMs;
    expect(slacksAt(500)).to.deep.equal([-100, 1_000]);
    expect(slacksAt(3_600)).to.deep.equal([-3_200]);
  });

  it("doesn't expect callers that have come, at any host", () => {
    const tracker = new core.DemandTracker();
    const [waiting] = report("h1", 0, [300, 900]).demand;
    if (waiting === undefined) throw new Error("no demand");
    const expected = { ...waiting, returningMs: [900, 300] };
    tracker.addReport({ host: "h1", demand: [expected], load: [] }, 0);
    const came = { ...waiting, slacksMs: [], arrivals: 1, returned: 1 };
    tracker.addReport({ host: "h2", demand: [came], load: [] }, 200);
    const dueAt = (now: number) =>
      tracker.aggregate(SERVICE, now)[0]?.returningMs;
    expect(dueAt(200)).to.deep.equal([700]);
    expect(dueAt(1_199)).to.deep.equal([-299]);
  });

  it("keeps a report as long as its host is heard of", () => {
    const tracker = new core.DemandTracker();
    tracker.addReport(report("h1", 2, [500]), 0);
    tracker.addReport(report("h2", 1), 0);
    tracker.touch("h1", 2_500);
    expect(tracker.expire(4_000)).to.deep.equal(["h2"]);
    expect(tracker.loadOf("s1")).to.equal(2);
    expect(tracker.hostCount).to.equal(1);
    expect(tracker.expire(6_000)).to.deep.equal(["h1"]);
    expect(tracker.loadOf("s1")).to.equal(0);
    expect(tracker.aggregate(SERVICE, 6_000)[0]?.slacksMs).to.deep.equal([]);
  });

  it("averages arrivals and concurrency over all hosts", () => {
    const tracker = new core.DemandTracker();
    for (let now = 0; now < 60_000; now += 500) {
      for (const host of ["h1", "h2"]) {
        tracker.addReport(report(host, 3, [], 1), now);
      }
    }
    const [demand] = tracker.aggregate(SERVICE, 60_000);
    // Two hosts with two arrivals a second and three running requests each.
    expect(demand?.arrivalsPerSecond).to.be.closeTo(4, 0.4);
    expect(demand?.concurrency).to.be.closeTo(6, 0.1);
  });
});
