import fastCheck from "fast-check";
import * as core from "@ebonypath/core";
import * as testing from "@ebonypath/testing";
import { expect } from "chai";
import * as limitLender from "../../src/gateway/control/limit_lender.ts";
import * as retryBudgets from "../../src/gateway/entry/retry_budgets.ts";

const SEED = 20_261_204;
const RUNS = 60;
const SERVICE = "advice";
/** Retries that the whole fleet may send. */
export const FLEET_BUDGET = { ratio: 0.2, slack: 54, windowMs: 10_000 };
/** Length of a simulated run: several windows, in milliseconds. */
const RUN_MS = 60_000;
/** Interval at which hosts learn the number of hosts, in milliseconds. */
const HOST_COUNT_INTERVAL_MS = 250;
/** A borrower that never gets a unit; the simulation lends them itself. */
const NO_LOANS = { take: () => Promise.resolve(false) };

/** A fleet whose hosts use the shared budget unevenly. */
type Fleet = {
  readonly hosts: number;
  readonly perSecond: number;
  /** Additional weight of the first host in the choice of a host. */
  readonly skew: number;
  /** Retries that are attempted for each request. */
  readonly retriesPerRequest: number;
  /** Time at which another control host takes over, in milliseconds. */
  readonly takeoverAt: number;
  readonly seed: number;
};

/** Times at which requests and retries were sent, in milliseconds. */
type SendTimes = { readonly requests: number[]; readonly retries: number[] };

function createLender(): limitLender.LimitLender {
  return new limitLender.LimitLender({
    retryBudget: FLEET_BUDGET,
    coldRequestsPerSecond: () => 0,
  });
}

/**
 * Simulates the requests and retries of a fleet. Hosts that have no share of
 * their own borrow retries, and use them up to a unit's lifetime later.
 */
function simulate(
  { hosts, perSecond, retriesPerRequest, seed, skew, takeoverAt }: Fleet,
): SendTimes {
  const random = testing.fakeBackend.seededRandom(seed);
  const hostBudgets = Array.from(
    { length: hosts },
    () => new retryBudgets.RetryBudgets(FLEET_BUDGET, NO_LOANS),
  );
  for (const budgets of hostBudgets) budgets.setHostCount(hosts, 0);
  const sent: SendTimes = { requests: [], retries: [] };
  let lender = createLender();
  let hasTakenOver = false;
  for (let now = 0; now < RUN_MS; now += 1_000 / perSecond) {
    if (now >= takeoverAt && !hasTakenOver) {
      hasTakenOver = true;
      lender = createLender();
    }
    const drawn = Math.floor(random() * (hosts + skew));
    const budgets =
      hostBudgets[Math.min(hosts - 1, Math.max(0, drawn - skew))]!;
    if (now % HOST_COUNT_INTERVAL_MS < 1) budgets.setHostCount(hosts, now);
    budgets.recordRequest(SERVICE, now);
    sent.requests.push(now);
    for (let retry = 0; retry < retriesPerRequest; retry += 1) {
      if (budgets.tryRetry(SERVICE, now)) {
        sent.retries.push(now);
        continue;
      }
      const wanted = [{ limit: "retries" as const, name: SERVICE, units: 1 }];
      const lent = lender
        .lend(hosts, budgets.collectRequests(), wanted, now);
      if (lent.length === 0) continue;
      sent.retries.push(now + random() * core.gateway.RETRY_UNIT_LIFETIME_MS);
    }
  }
  return sent;
}

/** Number of times in a range that includes both ends. */
function countIn(times: readonly number[], from: number, to: number): number {
  return times.filter((time) => time >= from && time <= to).length;
}

/** Defines a test that fleets with this many hosts keep to their budget. */
export function testFleetBudget(minHosts: number, maxHosts: number): void {
  const fleets = fastCheck.record({
    hosts: fastCheck.integer({ min: minHosts, max: maxHosts }),
    perSecond: fastCheck.integer({ min: 1, max: 200 }),
    skew: fastCheck.integer({ min: 1, max: 20 }),
    retriesPerRequest: fastCheck.integer({ min: 1, max: 5 }),
    takeoverAt: fastCheck.integer({ min: 1, max: RUN_MS }),
    seed: fastCheck.integer({ min: 1, max: 1_000_000 }),
  });
  it(`keep to the budget with ${minHosts} to ${maxHosts} hosts, in every window`, () => {
    fastCheck.assert(
      fastCheck.property(fleets, (fleet) => {
        const { requests, retries } = simulate(fleet);
        const { ratio, slack, windowMs } = FLEET_BUDGET;
        for (let end = windowMs; end <= RUN_MS; end += windowMs / 20) {
          const retryCount = countIn(retries, end - windowMs, end);
          const requestCount = countIn(requests, end - windowMs, end);
          expect(retryCount).to.be.at.most(ratio * requestCount + slack);
        }
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });
}
