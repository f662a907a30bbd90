import { limits } from "@ebonypath/core";
import { expect } from "chai";

const LIFETIME_MS = limits.SHARE_LIFETIME_MS;
/** Interval between two answers, in milliseconds. */
const STEP_MS = 1_000;

interface Case {
  readonly name: string;
  /** Terms of the leaders that answered, one per interval. */
  readonly terms: readonly number[];
  /** Time since the last answer, in milliseconds. */
  readonly sinceMs: number;
  readonly isConverged: boolean;
}

const LONG_LEADERSHIP = Array.from({ length: 6 }, () => 1);
const CASES: readonly Case[] = [
  { name: "no leader", terms: [], sinceMs: LIFETIME_MS, isConverged: false },
  { name: "a new leader", terms: [1], sinceMs: 10, isConverged: false },
  {
    name: "a long-standing leader",
    terms: LONG_LEADERSHIP,
    sinceMs: 10,
    isConverged: true,
  },
  {
    name: "a new leader after a long-standing one",
    terms: [...LONG_LEADERSHIP, 2],
    sinceMs: 10,
    isConverged: false,
  },
  {
    name: "a leader whose answers are late",
    terms: LONG_LEADERSHIP,
    sinceMs: 2 * STEP_MS,
    isConverged: false,
  },
];

describe("whether shares have converged", () => {
  for (const { name, terms, sinceMs, isConverged } of CASES) {
    it(`with ${name}: ${isConverged}`, () => {
      const shares = new limits.HostShares("entry-1/a");
      for (const [index, term] of terms.entries()) {
        const answer = { term, exchange: index, buckets: [], slots: [] };
        shares.accept(answer, index * STEP_MS);
      }
      const now = (terms.length - 1) * STEP_MS + sinceMs;
      expect(shares.isConverged(now)).to.equal(isConverged);
    });
  }
});
