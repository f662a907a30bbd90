import { errors } from "@ebonypath/protocol";
import { expect } from "chai";
import { setMaxListeners } from "node:events";
import * as timers from "node:timers/promises";
import * as entry from "../../src/entry/mod.ts";
import * as fixtures from "./work_fixtures.ts";

/**
 * A queue of waiting requests and the tokens supplied before a last request.
 */
interface Case {
  readonly name: string;
  /** Tokens that become available every 100 ms. */
  readonly tokensPerStep: number;
  readonly waitingCount: number;
  readonly arrivesAt: number;
  /** Rate of the share, in tokens per second. */
  readonly shareRate?: number;
  readonly startBy: number;
  /**
   * Whether the shares are settled under the current leader; true by default.
   */
  readonly isSettled?: boolean;
  readonly ending: "waiting" | "refused";
}

const CASES: readonly Case[] = [
  {
    name: "if no throughput was measured",
    tokensPerStep: 0,
    waitingCount: 900,
    arrivesAt: 3_000,
    startBy: 4_900,
    ending: "waiting",
  },
  {
    name: "if the throughput was measured for too short a time",
    tokensPerStep: 1,
    waitingCount: 900,
    arrivesAt: 500,
    startBy: 4_900,
    ending: "waiting",
  },
  {
    name: "if it can get its tokens in time",
    tokensPerStep: 10,
    waitingCount: 300,
    arrivesAt: 1_500,
    startBy: 4_900,
    ending: "waiting",
  },
  {
    name: "if a new share allows its tokens in time",
    tokensPerStep: 10,
    waitingCount: 900,
    arrivesAt: 1_500,
    shareRate: 1_000,
    startBy: 4_900,
    ending: "waiting",
  },
  {
    name: "if the leader may still be withholding tokens",
    tokensPerStep: 10,
    waitingCount: 900,
    arrivesAt: 1_500,
    startBy: 4_900,
    isSettled: false,
    ending: "waiting",
  },
  {
    name: "if it cannot get its tokens in time",
    tokensPerStep: 10,
    waitingCount: 900,
    arrivesAt: 1_500,
    startBy: 4_900,
    ending: "refused",
  },
];

describe("admission", () => {
  for (const testCase of CASES) {
    it(`a request is ${testCase.ending} ${testCase.name}`, async () => {
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
          isConverged: () => testCase.isSettled ?? true,
          tokenShare: () => ({ capacity: 0, rate: testCase.shareRate ?? 0 }),
        },
        requestShares: () => undefined,
        isCurrent: () => true,
        now: () => now,
      });
      const disconnected = new AbortController();
      // Each waiting request adds an abort listener.
      setMaxListeners(Infinity, disconnected.signal);
      const reserve = () =>
        fixtures.trackWait(
          admission.reserve(
            fixtures.work("loud"),
            "loud",
            disconnected.signal,
            testCase.startBy,
          ),
        );
      for (let i = 0; i < testCase.waitingCount; i += 1) reserve();
      for (now = 100; now <= testCase.arrivesAt; now += 100) {
        tokens = testCase.tokensPerStep;
        admission.admitWaiting();
      }
      const last = reserve();
      await timers.setImmediate();
      expect(last.ending.kind).to.equal(testCase.ending);
      if (last.ending.kind === "refused") {
        const { error } = last.ending;
        expect(error).to.be.instanceOf(errors.Refusal);
        const refusal = error as errors.Refusal;
        expect(refusal.definition).to.equal(errors.RATE_EXCEEDED);
        expect(refusal.outcome).to.equal("not-run");
        expect(refusal.retryAfterSeconds).to.be.greaterThan(1);
      }
      disconnected.abort();
    });
  }
});
