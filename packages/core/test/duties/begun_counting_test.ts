import { expect } from "chai";
import {
  BegunCounter,
  FleetClock,
  UsageWindows,
} from "../../src/duties/mod.ts";

const WINDOW_MS = 5_000;
const TERM = 3;

/** A host whose time of day is its monotonic clock plus an offset. */
function createCounter(offsetMs = 0): BegunCounter {
  return new BegunCounter(WINDOW_MS, offsetMs);
}

describe("begun requests", () => {
  it("are counted in the window in which they began", () => {
    const counter = createCounter();
    counter.count("shop", 4_999);
    counter.count("shop", 5_000);
    expect(counter.changes(TERM)).to.deep.equal([
      { window: 0, workspace: "shop", count: 1 },
      { window: 1, workspace: "shop", count: 1 },
    ]);
  });

  it("are not counted twice when the answer to a report is lost", () => {
    const counter = createCounter();
    const windows = new UsageWindows();
    counter.count("shop", 0);
    windows.record("entry-1", counter.changes(TERM), 0);
    counter.count("shop", 1);
    windows.record("entry-1", counter.changes(TERM), 0);
    expect(windows.countsOf(0)).to.deep.equal([
      { workspace: "shop", count: 2 },
    ]);
  });

  it("are told again only to a new leader once they are acknowledged", () => {
    const counter = createCounter();
    counter.count("shop", 0);
    counter.acknowledge(counter.changes(TERM), TERM, 1);
    expect(counter.changes(TERM)).to.deep.equal([]);
    expect(counter.changes(TERM + 1)).to.have.length(1);
  });

  it("that came while a report was under way wait for the next one", () => {
    const counter = createCounter();
    counter.count("shop", 0);
    const report = counter.changes(TERM);
    counter.count("shop", 1);
    counter.acknowledge(report, TERM, 2);
    expect(counter.changes(TERM)[0]?.count).to.equal(2);
    expect(counter.hasNews(1_500)).to.equal(true);
  });

  it("of an earlier process of a host count besides those of the next", () => {
    const windows = new UsageWindows();
    const counts = [{ window: 0, workspace: "shop", count: 2 }];
    windows.record("entry-1/first", counts, 0);
    windows.record("entry-1/second", counts, 0);
    expect(windows.countsOf(0)[0]?.count).to.equal(4);
  });

  it("that are told after their window was closed are only noted", () => {
    const windows = new UsageWindows();
    const counts = [{ window: 4, workspace: "shop", count: 2 }];
    windows.record("entry-1", counts, 5, 4);
    expect(windows.countsOf(4)).to.deep.equal([]);
    expect(windows.late).to.equal(2);
  });

  it("of windows far ahead are refused", () => {
    const windows = new UsageWindows();
    const counts = [{ window: 900, workspace: "shop", count: 2 }];
    windows.record("entry-1", counts, 5);
    expect(windows.refused).to.equal(1);
  });

  it("count by the fleet's time on a host whose clock was stepped", () => {
    const counter = createCounter(60_000);
    counter.applyAnswer({ fleetTimeMs: 1_000 }, 990, 1_010);
    counter.count("shop", 1_020);
    expect(counter.changes(TERM)[0]?.window).to.equal(0);
  });

  it("are forgotten when their window is closed", () => {
    const counter = createCounter();
    counter.count("shop", 0);
    counter.applyAnswer({ closedWindow: 0 }, 10, 20);
    expect(counter.changes(TERM)).to.deep.equal([]);
  });
});

describe("fleet clock", () => {
  const OWN = { monotonicMs: 100, wallMs: 10_100 };

  it("follows most hosts, not one whose clock was stepped", () => {
    const clock = new FleetClock();
    clock.record("entry-1", 10_100, 100);
    clock.record("entry-2", 10_101, 100);
    clock.record("entry-3", 99_000, 100);
    expect(clock.timeMs(OWN)).to.equal(10_101);
  });

  it("follows a host when the own clock was stepped", () => {
    const clock = new FleetClock();
    clock.record("entry-1", 10_100, 100);
    expect(clock.timeMs({ monotonicMs: 100, wallMs: 3 })).to.equal(10_100);
  });

  it("forgets hosts that are silent", () => {
    const clock = new FleetClock();
    clock.record("entry-1", 5, 100);
    clock.record("entry-2", 5, 100);
    expect(clock.timeMs({ monotonicMs: 60_100, wallMs: 70_100 }))
      .to.equal(70_100);
  });
});
