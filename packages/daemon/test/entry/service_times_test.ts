import { expect } from "chai";
import * as serviceTimes from "../../src/entry/service_times.ts";

describe("ServiceTimes", () => {
  it("reserves nothing for an unknown target", () => {
    const times = new serviceTimes.ServiceTimes();
    expect(times.dispatchDeadline("orders", 5_000, 0)).to.equal(5_000);
  });

  it("reserves twice the mean time to the first byte", () => {
    const times = new serviceTimes.ServiceTimes();
    times.observeFirstByte("orders", 50);
    times.observeFirstByte("orders", 150);
    expect(times.dispatchDeadline("orders", 5_000, 0)).to.equal(4_880);
    expect(times.dispatchDeadline("stock", 5_000, 0)).to.equal(5_000);
  });

  it("reserves at most half of the time", () => {
    const times = new serviceTimes.ServiceTimes();
    times.observeFirstByte("orders", 60_000);
    expect(times.dispatchDeadline("orders", 5_000, 1_000)).to.equal(3_000);
  });

  const cases = [
    { name: "constant times", answers: [50, 50, 50], reservedMs: 100 },
    { name: "varying times", answers: [50, 800, 50, 900], reservedMs: 800 },
    { name: "a single outlier", answers: [50, 50, 2_000], reservedMs: 100 },
    {
      name: "old times",
      answers: [900, 900, ...Array.from({ length: 64 }, () => 50)],
      reservedMs: 100,
    },
    {
      name: "answers cut off by the deadline",
      answers: [50, 150, 400, 400],
      reservedMs: 400,
    },
  ];
  for (const { name, answers, reservedMs } of cases) {
    it(`reserves time for ${name}`, () => {
      const times = new serviceTimes.ServiceTimes();
      times.observeFirstByte("orders", 50);
      for (const ms of answers) times.observeAnswer("orders", false, ms);
      expect(times.dispatchDeadline("orders", 5_000, 0)).to.equal(
        5_000 - reservedMs,
      );
    });
  }

  it("does not count complete answers for streams", () => {
    const times = new serviceTimes.ServiceTimes();
    for (const ms of [900, 900]) times.observeAnswer("last", false, ms);
    expect(times.dispatchDeadline("last", 5_000, 0, true)).to.equal(5_000);
    expect(times.dispatchDeadline("last", 5_000, 0, false)).to.equal(4_100);
  });
});

describe("GenerationalCache", () => {
  it("is bounded and keeps the entries set last", () => {
    const cache = new serviceTimes.GenerationalCache<number>(10);
    for (let index = 0; index < 100; index += 1) {
      cache.set(`target-${index}`, index);
      cache.set("often", index);
      expect(cache.size).to.be.at.most(10);
      expect(cache.get("often")).to.equal(index);
      expect(cache.get(`target-${index}`)).to.equal(index);
    }
    expect(cache.get("target-90")).to.equal(undefined);
  });

  it("returns the latest value", () => {
    const cache = new serviceTimes.GenerationalCache<number>(10);
    cache.set("orders", 1);
    for (let index = 0; index < 5; index += 1) cache.set(`${index}`, index);
    cache.set("orders", 2);
    expect(cache.get("orders")).to.equal(2);
  });
});
