import { limits } from "@ebonypath/core";
import { expect } from "chai";

const LIFETIME_MS = limits.SHARE_LIFETIME_MS;
/** Time between two answers, in milliseconds. */
const STEP_MS = 1_000;

interface Case {
  readonly name: string;
  /** Terms of the leaders that answered, one each step. */
  readonly terms: readonly number[];
  /** Time since the last answer, in milliseconds. */
  readonly sinceMs: number;
  readonly isSettled: boolean;
}

const LONG = Array.from({ length: 6 }, () => 1);
const CASES: readonly Case[] = [
  { name: "no leader", terms: [], sinceMs: LIFETIME_MS, isSettled: false },
  { name: "a new leader", terms: [1], sinceMs: 10, isSettled: false },
  { name: "a leader of long", terms: LONG, sinceMs: 10, isSettled: true },
  {
    name: "a new leader after one of long",
    terms: [...LONG, 2],
    sinceMs: 10,
    isSettled: false,
  },
  {
    name: "a leader whose answers are late",
    terms: LONG,
    sinceMs: 2 * STEP_MS,
    isSettled: false,
  },
];

describe("whether shares tell what can be had", () => {
  for (const { name, terms, sinceMs, isSettled } of CASES) {
    it(`with ${name}: ${isSettled}`, () => {
      const holder = new limits.HostShares("entry-1/a");
      for (const [index, term] of terms.entries()) {
        const answer = { term, exchange: index, buckets: [], slots: [] };
        holder.accept(answer, index * STEP_MS);
      }
      const now = (terms.length - 1) * STEP_MS + sinceMs;
      expect(holder.isConverged(now)).to.equal(isSettled);
    });
  }
});
