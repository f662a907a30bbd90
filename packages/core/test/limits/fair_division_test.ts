import { limits } from "@ebonypath/core";
import { expect } from "chai";

const claim = (want: number, head = 0, headAgeMs = 0, stock = want) => ({
  head,
  headAgeMs,
  want,
  stock,
});

const whole = (
  want: number,
  ageMs = 0,
  stock = want,
  expected = want,
) => ({
  want,
  expected,
  stock,
  ageMs,
});

describe("division of an amount", () => {
  const cases = [
    { name: "nothing wanted", total: 10, claims: [claim(0)], parts: [0] },
    {
      name: "enough for all",
      total: 10,
      claims: [claim(3), claim(4)],
      parts: [3, 4],
    },
    {
      name: "max-min",
      total: 10,
      claims: [claim(2), claim(8), claim(9)],
      parts: [2, 4, 4],
    },
    {
      name: "the oldest request first",
      total: 10,
      claims: [claim(9, 2, 10), claim(9, 7, 20)],
      parts: [2.5, 7.5],
    },
    {
      name: "stock after use",
      total: 10,
      claims: [claim(6), claim(0, 0, 0, 8)],
      parts: [6, 4],
    },
    { name: "less than nothing", total: -5, claims: [claim(3)], parts: [0] },
  ];
  for (const { name, total, claims, parts } of cases) {
    it(name, () => expect(limits.divide(total, claims)).to.deep.equal(parts));
  }
});

describe("heads that an amount is enough for", () => {
  const head = (size: number, headAgeMs: number) => ({ head: size, headAgeMs });
  const cases = [
    {
      name: "all when they fit",
      total: 10,
      claims: [head(4, 1), head(6, 2)],
      expected: { parts: [4, 6], areServed: true },
    },
    {
      name: "no part of one that does not fit, and none behind it",
      total: 10,
      claims: [head(2, 1), head(8, 2), head(4, 3)],
      expected: { parts: [0, 0, 4], areServed: false },
    },
    {
      name: "claimants without a head want nothing",
      total: 0,
      claims: [head(0, 0), head(0, 0)],
      expected: { parts: [0, 0], areServed: true },
    },
  ];
  for (const { name, total, claims, expected } of cases) {
    it(
      name,
      () => expect(limits.allocateHeads(total, claims)).to.deep.equal(expected),
    );
  }
});

describe("division of whole units", () => {
  const cases = [
    {
      name: "one unit goes to the longest waiting",
      total: 1,
      claims: [whole(3, 10), whole(3, 30), whole(3, 20)],
      parts: [0, 1, 0],
    },
    {
      name: "the rest goes by age",
      total: 5,
      claims: [whole(9, 0), whole(9, 5), whole(1, 1)],
      parts: [2, 2, 1],
    },
    {
      name: "stock takes what is over",
      total: 6,
      claims: [whole(1, 0, 9), whole(1, 0, 2)],
      parts: [4, 2],
    },
    {
      name: "expected use comes after present use and before stock",
      total: 4,
      claims: [whole(2), whole(0, 0, 4), whole(0, 0, 1, 1)],
      parts: [2, 1, 1],
    },
    {
      name: "part of a unit is not given",
      total: 1.9,
      claims: [whole(2)],
      parts: [1],
    },
  ];
  for (const { name, total, claims, parts } of cases) {
    it(
      name,
      () => expect(limits.divideUnits(total, claims)).to.deep.equal(parts),
    );
  }
});
