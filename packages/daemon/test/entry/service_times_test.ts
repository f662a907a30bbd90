import { expect } from "chai";
import * as serviceTimes from "../../src/entry/service_times.ts";

describe("service times", () => {
  it("keeps nothing free for a target that is not known", () => {
    const times = new serviceTimes.ServiceTimes();
    expect(times.dispatchDeadline("orders", 5_000, 0)).to.equal(5_000);
  });

  it("keeps twice the mean time free", () => {
    const times = new serviceTimes.ServiceTimes();
    times.observeFirstByte("orders", 50);
    times.observeFirstByte("orders", 150);
    expect(times.dispatchDeadline("orders", 5_000, 0)).to.equal(4_880);
    expect(times.dispatchDeadline("stock", 5_000, 0)).to.equal(5_000);
  });

  it("leaves half of the time for waiting, however slow a server is", () => {
    const times = new serviceTimes.ServiceTimes();
    times.observeFirstByte("orders", 60_000);
    expect(times.dispatchDeadline("orders", 5_000, 1_000)).to.equal(3_000);
  });

  const cases = [
    { name: "steady times", answers: [50, 50, 50], free: 100 },
    { name: "times that vary", answers: [50, 800, 50, 900], free: 800 },
    { name: "a single accident", answers: [50, 50, 2_000], free: 100 },
    {
      name: "times of long ago",
      answers: [900, 900, ...Array.from({ length: 64 }, () => 50)],
      free: 100,
    },
    { name: "answers that were cut", answers: [50, 150, 400, 400], free: 400 },
  ];
  for (const { name, answers, free } of cases) {
    it(`keeps time free for ${name}`, () => {
      const times = new serviceTimes.ServiceTimes();
      times.observeFirstByte("orders", 50);
      for (const ms of answers) times.observeAnswer("orders", false, ms);
      expect(times.dispatchDeadline("orders", 5_000, 0)).to.equal(5_000 - free);
    });
  }

  it("does not hold whole answers against streams", () => {
    const times = new serviceTimes.ServiceTimes();
    for (const ms of [900, 900]) times.observeAnswer("last", false, ms);
    expect(times.dispatchDeadline("last", 5_000, 0, true)).to.equal(5_000);
    expect(times.dispatchDeadline("last", 5_000, 0, false)).to.equal(4_100);
  });
});

describe("recent values", () => {
  it("are bounded, and those set last stay", () => {
    const recent = new serviceTimes.GenerationalCache<number>(10);
    for (let index = 0; index < 100; index += 1) {
      recent.set(`target-${index}`, index);
      recent.set("often", index);
      expect(recent.size).to.be.at.most(10);
      expect(recent.get("often")).to.equal(index);
      expect(recent.get(`target-${index}`)).to.equal(index);
    }
    expect(recent.get("target-90")).to.equal(undefined);
  });

  it("have their latest value", () => {
    const recent = new serviceTimes.GenerationalCache<number>(10);
    recent.set("orders", 1);
    for (let index = 0; index < 5; index += 1) recent.set(`${index}`, index);
    recent.set("orders", 2);
    expect(recent.get("orders")).to.equal(2);
  });
});
