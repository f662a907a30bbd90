import { expect } from "chai";
import * as core from "../../src/gateway/mod.ts";

describe("a caller whose model is not ready", () => {
  it("is expected after a third of its time, if it is told to stay away longer", () => {
    expect(core.awayMs(9_000, 15_000)).to.equal(5_000);
    expect(core.awayMs(2_000, 15_000)).to.equal(2_000);
    expect(core.awayMs(2_000, -5)).to.equal(0);
  });
});

describe("a caller that comes back", () => {
  it("is recognized by the time that it has left, at any host", () => {
    const times = new core.StatedTimes();
    expect(times.isReturning("letters", 35_000, 0)).to.equal(false);
    expect(times.isReturning("letters", 35_000, 10)).to.equal(false);
    expect(times.isReturning("letters", 34_980, 20)).to.equal(false);
    expect(times.isReturning("letters", 23_000, 30)).to.equal(true);
    expect(times.isReturning("lookups", 1_000, 40)).to.equal(false);
  });

  it("is not recognized where callers state various times", () => {
    const times = new core.StatedTimes();
    for (let count = 0; count < 30; count += 1) {
      const statedMs = count % 2 === 0 ? 10_000 : 35_000;
      expect(times.isReturning("letters", statedMs, count)).to.equal(false);
    }
  });

  it("is not recognized by one caller that states more than all others", () => {
    const times = new core.StatedTimes();
    times.isReturning("letters", 900_000, 0);
    for (let count = 0; count < 9; count += 1) {
      expect(times.isReturning("letters", 35_000, count)).to.equal(false);
    }
  });

  it("is not seen in new callers for long after times have become shorter", () => {
    const times = new core.StatedTimes();
    for (let count = 0; count < 3; count += 1) {
      times.isReturning("letters", 35_000, 0);
    }
    let last = true;
    for (let now = 1_000; now <= 61_000; now += 1_000) {
      last = times.isReturning("letters", 20_000, now);
    }
    expect(last).to.equal(false);
  });
});

describe("slots kept for callers that come back", () => {
  const server = { slots: 32, models: ["a", "b"] };
  const kept = (due: [string, number][], holders: [string, number][]) =>
    core.keptSlots(server, new Map(due), new Map(holders));

  it("are divided among the servers that hold their model", () => {
    expect(kept([["a", 3]], [["a", 1]])).to.equal(3);
    expect(kept([["a", 3]], [["a", 2]])).to.equal(2);
    expect(kept([["c", 3]], [["c", 1]])).to.equal(0);
  });

  it("are an eighth of a server at most, and none of a small one", () => {
    expect(kept([["a", 900], ["b", 900]], [["a", 1], ["b", 1]])).to.equal(4);
    const small = { slots: 7, models: ["a"] };
    expect(core.keptSlots(small, new Map([["a", 9]]), new Map())).to.equal(0);
  });
});

describe("copies of a model", () => {
  it("are counted by where they are", () => {
    const holder = (overrides: Partial<core.CopyHolder>) => ({
      models: [],
      inMemory: [],
      onDisk: [],
      loading: undefined,
      ...overrides,
    });
    const servers = [
      holder({ models: [{ name: "a", version: 1, adapters: [] }] }),
      holder({ inMemory: ["a"], onDisk: ["a", "b"] }),
      holder({ onDisk: ["a"], loading: "a" }),
      holder({ onDisk: ["b"], loading: "b" }),
    ];
    const copies = core.countCopies(servers);
    expect(copies.get("a"))
      .to.deep.equal({ loaded: 1, inMemory: 1, onDisk: 2, loading: 1 });
    expect(copies.get("c")).to.equal(undefined);
  });
});
