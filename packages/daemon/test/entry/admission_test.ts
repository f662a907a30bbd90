import { errors } from "@ebonypath/protocol";
import { expect } from "chai";
import { setMaxListeners } from "node:events";
import * as timers from "node:timers/promises";
import * as entry from "../../src/entry/mod.ts";
import * as fixtures from "./work_fixtures.ts";

/** When the requests of a line arrive and what is served until then. */
interface Case {
  readonly name: string;
  /** Tokens that come each 100 ms. */
  readonly supply: number;
  readonly waiting: number;
  readonly at: number;
  /** Rate of the share, in tokens a second. */
  readonly share?: number;
  readonly startBy: number;
  /** Whether a leader has divided the rate for a while; true by default. */
  readonly isSettled?: boolean;
  readonly ending: "waiting" | "refused";
}

const CASES: readonly Case[] = [
  {
    name: "as nothing is known of the supply",
    supply: 0,
    waiting: 900,
    at: 3_000,
    startBy: 4_900,
    ending: "waiting",
  },
  {
    name: "as the supply is not known for long enough",
    supply: 1,
    waiting: 900,
    at: 500,
    startBy: 4_900,
    ending: "waiting",
  },
  {
    name: "as it will have its tokens in time",
    supply: 10,
    waiting: 300,
    at: 1_500,
    startBy: 4_900,
    ending: "waiting",
  },
  {
    name: "as a share has come that serves it in time",
    supply: 10,
    waiting: 900,
    at: 1_500,
    share: 1_000,
    startBy: 4_900,
    ending: "waiting",
  },
  {
    name: "as the leader may still withhold tokens",
    supply: 10,
    waiting: 900,
    at: 1_500,
    startBy: 4_900,
    isSettled: false,
    ending: "waiting",
  },
  {
    name: "as it cannot have its tokens in time",
    supply: 10,
    waiting: 900,
    at: 1_500,
    startBy: 4_900,
    ending: "refused",
  },
];

describe("waiting for tokens", () => {
  for (const one of CASES) {
    it(`a request is ${one.ending} ${one.name}`, async () => {
      let now = 0;
      let tokens = 0;
      const admission = new entry.Admission({
        shares: {
          reserve: (pool, wanted) => {
            if (wanted > tokens) return { kind: "wait" };
            tokens -= wanted;
            return {
              kind: "reserved",
              reservation: { pool, tokens: wanted },
            };
          },
          settle: () => undefined,
          setWaitingTokens: () => undefined,
          isSettled: () => one.isSettled ?? true,
          tokenShare: () => ({ capacity: 0, rate: one.share ?? 0 }),
        },
        requestShares: () => undefined,
        isCurrent: () => true,
        now: () => now,
      });
      const gone = new AbortController();
      // Each waiting request listens for the end of its caller.
      setMaxListeners(Infinity, gone.signal);
      const reserve = () =>
        fixtures.follow(
          admission.reserve(
            fixtures.work("loud"),
            "loud",
            gone.signal,
            one.startBy,
          ),
        );
      for (let i = 0; i < one.waiting; i += 1) reserve();
      for (now = 100; now <= one.at; now += 100) {
        tokens = one.supply;
        admission.admitWaiting();
      }
      const last = reserve();
      await timers.setImmediate();
      expect(last.ending.kind).to.equal(one.ending);
      if (last.ending.kind === "refused") {
        const { error } = last.ending;
        expect(error).to.be.instanceOf(errors.Refusal);
        const refusal = error as errors.Refusal;
        expect(refusal.definition).to.equal(errors.RATE_EXCEEDED);
        expect(refusal.outcome).to.equal("not-run");
        expect(refusal.retryAfterSeconds).to.be.greaterThan(1);
      }
      gone.abort();
    });
  }
});
