import { queue } from "@ebonypath/core";
import { expect } from "chai";

describe("supply of a line", () => {
  /** Amounts by the time at which they were served, in milliseconds. */
  const cases = [
    { name: "nothing served, as a model loads", served: [], at: 9_000 },
    { name: "too short a time", served: [[100, 50]], at: 900, rate: undefined },
    {
      name: "steady",
      served: every(100, 2_500, 5, -50),
      at: 2_500,
      rate: 0.05,
    },
    {
      name: "a growing supply is believed at once",
      served: [...every(100, 1_000, 1), ...every(10, 500, 10, 1_000)],
      at: 1_500,
      rate: (9 + 500 + 1) / 1_500,
    },
    {
      name: "a falling supply is believed a period later",
      served: every(100, 999, 10),
      at: 1_900,
      rate: 0.09,
    },
    { name: "an old supply is forgotten", served: [[500, 90]], at: 3_000 },
    {
      name: "what came back was not served",
      served: [[500, 90], [600, -40]],
      at: 1_000,
      rate: 0.05,
    },
    {
      name: "more came back than was served",
      served: [[500, 10], [600, -40]],
      at: 1_000,
    },
  ];
  for (const { name, served, at, rate } of cases) {
    it(name, () => {
      const supply = new queue.ThroughputEstimator(0);
      for (const [time, amount] of served) supply.recordServed(amount!, time!);
      const found = supply.perMs(at);
      if (rate === undefined) expect(found).to.equal(undefined);
      else expect(found).to.be.closeTo(rate, 0.001);
    });
  }
});

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
