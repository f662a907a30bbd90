import fastCheck from "fast-check";
import * as testing from "@ebonypath/testing";
import { expect } from "chai";
import * as retryBudgets from "../../src/gateway/entry/retry_budgets.ts";

const SEED = 20_261_204;
const RUNS = 60;
const SERVICE = "advice";
/** What the fleet may send again. */
export const FLEET_BUDGET = { ratio: 0.2, slack: 54, windowMs: 10_000 };
/** Length of a run: several windows, in milliseconds. */
const RUN_MS = 60_000;
/** Time between two looks of the hosts at how many they are, in ms. */
const HEARD_MS = 250;

/** A fleet whose hosts draw unevenly on one budget. */
type Fleet = {
  readonly hosts: number;
  readonly perSecond: number;
  /** Weight of the first host, which callers may prefer. */
  readonly skew: number;
  /** Retries that each request asks for. */
  readonly wanted: number;
  readonly seed: number;
};

/** Times at which requests and retries were sent. */
type Sent = { readonly first: number[]; readonly again: number[] };

function play({ hosts, perSecond, seed, skew, wanted }: Fleet): Sent {
  const random = testing.fakeBackend.seededRandom(seed);
  const members = Array.from(
    { length: hosts },
    () => new retryBudgets.RetryBudgets(FLEET_BUDGET),
  );
  for (const member of members) member.setHostCount(hosts);
  const sent: Sent = { first: [], again: [] };
  for (let now = 0; now < RUN_MS; now += 1_000 / perSecond) {
    const drawn = Math.floor(random() * (hosts + skew));
    const member = members[Math.min(hosts - 1, Math.max(0, drawn - skew))]!;
    if (now % HEARD_MS < 1) member.setHostCount(hosts);
    member.recordRequest(SERVICE, now);
    sent.first.push(now);
    for (let tries = 0; tries < wanted; tries += 1) {
      if (member.tryRetry(SERVICE, now)) sent.again.push(now);
    }
  }
  return sent;
}

/** Events in a span that includes its end. */
function countIn(times: readonly number[], from: number, to: number): number {
  return times.filter((time) => time >= from && time <= to).length;
}

/** Describes that the budget of a fleet of so many hosts is kept. */
export function testFleetBudget(least: number, most: number): void {
  const fleet = fastCheck.record({
    hosts: fastCheck.integer({ min: least, max: most }),
    perSecond: fastCheck.integer({ min: 1, max: 200 }),
    skew: fastCheck.integer({ min: 1, max: 20 }),
    wanted: fastCheck.integer({ min: 1, max: 5 }),
    seed: fastCheck.integer({ min: 1, max: 1_000_000 }),
  });
  it(`keep the budget of ${least} to ${most} hosts in every window`, () => {
    fastCheck.assert(
      fastCheck.property(fleet, (drawn) => {
        const { again, first } = play(drawn);
        const { ratio, slack, windowMs } = FLEET_BUDGET;
        for (let end = windowMs; end <= RUN_MS; end += windowMs / 20) {
          const sent = countIn(again, end - windowMs, end);
          const asked = countIn(first, end - windowMs, end);
          expect(sent).to.be.at.most(ratio * asked + slack);
        }
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });
}
