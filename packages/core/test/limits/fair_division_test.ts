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

const units = (
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
    { name: "no demand", total: 10, demands: [demand(0)], parts: [0] },
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
      name: "oldest request first",
      total: 10,
      demands: [demand(9, 2, 10), demand(9, 7, 20)],
      parts: [2.5, 7.5],
    },
    {
      name: "buffers after current use",
      total: 10,
      demands: [demand(6), demand(0, 0, 0, 8)],
      parts: [6, 4],
    },
    { name: "negative total", total: -5, demands: [demand(3)], parts: [0] },
  ];
  for (const { name, total, demands, parts } of cases) {
    it(name, () => expect(limits.divide(total, demands)).to.deep.equal(parts));
  }
});

describe("allocation of whole heads", () => {
  const head = (size: number, headAgeMs: number) => ({ head: size, headAgeMs });
  const cases = [
    {
      name: "serves all heads that fit",
      total: 10,
      demands: [head(4, 1), head(6, 2)],
      expected: { parts: [4, 6], areAllServed: true },
    },
    {
      name: "serves neither a head that does not fit nor any younger one",
      total: 10,
      demands: [head(2, 1), head(8, 2), head(4, 3)],
      expected: { parts: [0, 0, 4], areAllServed: false },
    },
    {
      name: "ignores participants without a head",
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

describe("division of free units", () => {
  const have = (held: number, target: number, ageMs = 0) => ({
    held,
    target,
    ageMs,
  });
  const cases = [
    {
      name: "the participant with the fewest comes first, whatever its age",
      free: 1,
      participants: [have(1, 2, 50), have(0, 1, 10), have(2, 1, 90)],
      parts: [0, 1, 0],
    },
    {
      name: "of several with as many, the longest-waiting comes first",
      free: 1,
      participants: [have(1, 2, 10), have(1, 2, 20)],
      parts: [0, 1],
    },
    {
      name: "nobody gets more than its target",
      free: 5,
      participants: [have(1, 2), have(0, 2)],
      parts: [1, 2],
    },
  ];
  for (const { name, free, participants, parts } of cases) {
    it(
      name,
      () =>
        expect(limits.divideFreeUnits(free, participants))
          .to.deep.equal(parts),
    );
  }
});

describe("division of whole units", () => {
  const cases = [
    {
      name: "a single unit goes to the longest-waiting participant",
      total: 1,
      demands: [units(3, 10), units(3, 30), units(3, 20)],
      parts: [0, 1, 0],
    },
    {
      name: "the remainder is assigned by age",
      total: 5,
      demands: [units(9, 0), units(9, 5), units(1, 1)],
      parts: [2, 2, 1],
    },
    {
      name: "buffers get the remainder",
      total: 6,
      demands: [units(1, 0, 9), units(1, 0, 2)],
      parts: [4, 2],
    },
    {
      name: "expected use comes after current use and before buffers",
      total: 4,
      demands: [units(2), units(0, 0, 4), units(0, 0, 1, 1)],
      parts: [2, 1, 1],
    },
    {
      name: "fractions of a unit are not granted",
      total: 1.9,
      demands: [units(2)],
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
