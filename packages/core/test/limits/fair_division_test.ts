import { limits } from "@ebonypath/core";
import { expect } from "chai";

const demand = (
  needed: number,
  head = 0,
  headAgeMs = 0,
  buffered = needed,
) => ({
  head,
  headAgeMs,
  needed,
  buffered,
});

const whole = (
  needed: number,
  ageMs = 0,
  buffered = needed,
  expected = needed,
) => ({
  needed,
  expected,
  buffered,
  ageMs,
});

describe("division of an amount", () => {
  const cases = [
    { name: "nothing wanted", total: 10, demands: [demand(0)], parts: [0] },
    {
      name: "enough for all",
      total: 10,
      demands: [demand(3), demand(4)],
      parts: [3, 4],
    },
    {
      name: "max-min",
      total: 10,
      demands: [demand(2), demand(8), demand(9)],
      parts: [2, 4, 4],
    },
    {
      name: "the oldest request first",
      total: 10,
      demands: [demand(9, 2, 10), demand(9, 7, 20)],
      parts: [2.5, 7.5],
    },
    {
      name: "buffered after use",
      total: 10,
      demands: [demand(6), demand(0, 0, 0, 8)],
      parts: [6, 4],
    },
    { name: "less than nothing", total: -5, demands: [demand(3)], parts: [0] },
  ];
  for (const { name, total, demands, parts } of cases) {
    it(name, () => expect(limits.divide(total, demands)).to.deep.equal(parts));
  }
});

describe("heads that an amount is enough for", () => {
  const head = (size: number, headAgeMs: number) => ({ head: size, headAgeMs });
  const cases = [
    {
      name: "all when they fit",
      total: 10,
      demands: [head(4, 1), head(6, 2)],
      expected: { parts: [4, 6], areAllServed: true },
    },
    {
      name: "no part of one that does not fit, and none behind it",
      total: 10,
      demands: [head(2, 1), head(8, 2), head(4, 3)],
      expected: { parts: [0, 0, 4], areAllServed: false },
    },
    {
      name: "claimants without a head want nothing",
      total: 0,
      demands: [head(0, 0), head(0, 0)],
      expected: { parts: [0, 0], areAllServed: true },
    },
  ];
  for (const { name, total, demands, expected } of cases) {
    it(
      name,
      () =>
        expect(limits.allocateHeads(total, demands)).to.deep.equal(expected),
    );
  }
});

describe("division of whole units", () => {
  const cases = [
    {
      name: "one unit goes to the longest waiting",
      total: 1,
      demands: [whole(3, 10), whole(3, 30), whole(3, 20)],
      parts: [0, 1, 0],
    },
    {
      name: "the rest goes by age",
      total: 5,
      demands: [whole(9, 0), whole(9, 5), whole(1, 1)],
      parts: [2, 2, 1],
    },
    {
      name: "buffered takes what is over",
      total: 6,
      demands: [whole(1, 0, 9), whole(1, 0, 2)],
      parts: [4, 2],
    },
    {
      name: "expected use comes after present use and before stock",
      total: 4,
      demands: [whole(2), whole(0, 0, 4), whole(0, 0, 1, 1)],
      parts: [2, 1, 1],
    },
    {
      name: "part of a unit is not given",
      total: 1.9,
      demands: [whole(2)],
      parts: [1],
    },
  ];
  for (const { name, total, demands, parts } of cases) {
    it(
      name,
      () => expect(limits.divideUnits(total, demands)).to.deep.equal(parts),
    );
  }
});
