import { queue } from "@ebonypath/core";
import { expect } from "chai";

describe("throughput estimate of a queue", () => {
  /** `served` lists pairs of a time in milliseconds and an amount. */
  const cases = [
    { name: "unknown while nothing is served", served: [], at: 9_000 },
    {
      name: "unknown in the first period",
      served: [[100, 50]],
      at: 900,
      rate: undefined,
    },
    {
      name: "steady throughput",
      served: every(100, 2_500, 5, -50),
      at: 2_500,
      rate: 0.05,
    },
    {
      name: "an increase counts at once",
      served: [...every(100, 1_000, 1), ...every(10, 500, 10, 1_000)],
      at: 1_500,
      rate: (9 + 500 + 1) / 1_500,
    },
    {
      name: "a decrease counts one period later",
      served: every(100, 999, 10),
      at: 1_900,
      rate: 0.09,
    },
    { name: "unknown after an idle period", served: [[500, 90]], at: 3_000 },
    {
      name: "returned amounts are subtracted",
      served: [[500, 90], [600, -40]],
      at: 1_000,
      rate: 0.05,
    },
    {
      name: "unknown if more was returned than served",
      served: [[500, 10], [600, -40]],
      at: 1_000,
    },
  ];
  for (const { name, served, at, rate } of cases) {
    it(name, () => {
      const subject = new queue.ThroughputEstimator(0);
      for (const [time, amount] of served) subject.recordServed(amount!, time!);
      const estimate = subject.perMs(at);
      if (rate === undefined) expect(estimate).to.equal(undefined);
      else expect(estimate).to.be.closeTo(rate, 0.001);
    });
  }
});

/** Serves `amount` at each step until `untilMs` after `fromMs`. */
function every(
  stepMs: number,
  untilMs: number,
  amount: number,
  fromMs = 0,
): number[][] {
  const count = Math.floor(untilMs / stepMs);
  return Array.from(
    { length: count },
    (_, index) => [fromMs + (index + 1) * stepMs, amount],
  );
}
