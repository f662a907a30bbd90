import { expect } from "chai";
import fastCheck from "fast-check";
import { RateQueue, toleratedRate } from "../../src/gateway/mod.ts";
import * as rateFleet from "./rate_fleet.ts";
import * as rateWindows from "./rate_windows.ts";

const { ELECTION_MS, ENDS_AT, SETTLE_MS, STARTS_AT } = rateFleet;
const TOLERANCE = { windowMs: 8_000, overage: 0.1, slack: 11_000 };
const SEED = 20_261_206;

/** A workspace that hosts limit by its rate and what the deployment tolerates. */
function createWorkspace(name: string, perSecond: number, load: number) {
  const rate = {
    unit: "tokens" as const,
    perSecond,
    burst: perSecond,
    plainTokens: 100,
  };
  return {
    name,
    rate: toleratedRate(rate, TOLERANCE),
    tokensPerSecond: load * perSecond,
  };
}

const FLEETS = fastCheck.record({
  hostCount: fastCheck.constantFrom(3, 17, 87, 195),
  gapMs: fastCheck.constantFrom(100, 1_000),
  together: fastCheck.constantFrom(1, 5),
  electionAt: fastCheck.option(
    fastCheck.integer({ min: STARTS_AT, max: 12_000 }),
    { nil: undefined },
  ),
  perSecond: fastCheck.constantFrom(3_000, 20_000),
  load: fastCheck.constantFrom(2, 4, 12),
});

/** Plays a loud workspace beside one that keeps to its rate. */
function play({ load, perSecond, ...options }: rateFleet.Play & {
  readonly load: number;
  readonly perSecond: number;
}): ReadonlyMap<string, readonly rateWindows.SimulatedRequest[]> {
  return rateFleet.play(options, [
    createWorkspace("loud", perSecond, load),
    createWorkspace("quiet", perSecond, 0.9),
  ]);
}

describe("rates with what a deployment tolerates beyond them", () => {
  it("admit none past the bound, while hosts begin and leaders change", () => {
    fastCheck.assert(
      fastCheck.property(FLEETS, (options) => {
        const { perSecond } = options;
        expect(rateWindows.busiestWindow(play(options).get("loud") ?? []))
          .to.be.at.most(
            rateWindows.allowedTokens({ perSecond, burst: perSecond }),
          );
      }),
      { seed: SEED, numRuns: 40 },
    );
  });

  it("refuse none of a workspace within its rate beside a loud one", () => {
    fastCheck.assert(
      fastCheck.property(FLEETS, (options) => {
        const { electionAt = ENDS_AT } = options;
        const settledAt = electionAt + ELECTION_MS + SETTLE_MS;
        const refused = (play(options).get("quiet") ?? [])
          .filter(({ isAdmitted }) => !isAdmitted)
          .filter(({ at }) => at < electionAt || at > settledAt);
        expect(refused).to.deep.equal([]);
      }),
      { seed: SEED, numRuns: 40 },
    );
  });

  it("admit what a burst may use of the tolerance", () => {
    const options = {
      hostCount: 17,
      gapMs: 1_000,
      together: 1,
      electionAt: undefined,
    };
    const requests = rateFleet.play(
      options,
      [createWorkspace("loud", 3_000, 4)],
    ).get("loud") ?? [];
    expect(rateWindows.busiestWindow(requests)).to.be.above(9 * 3_000 + 2_000);
  });
});

describe("a queue for a rate", () => {
  it("lets a request that waits go before those that arrive later", () => {
    const queue = new RateQueue();
    const first = queue.enter("shop", 1_000);
    const second = queue.enter("shop", 500);
    expect(queue.tokensAhead("shop", first)).to.equal(0);
    expect(queue.tokensAhead("shop", second)).to.equal(1_000);
    expect(queue.tokensAhead("shop")).to.equal(1_500);
    first[Symbol.dispose]();
    expect(queue.tokensAhead("shop", second)).to.equal(0);
    expect(queue.tokensAhead("other")).to.equal(0);
  });

  it("spreads the callers that it tells to come back at the rate", () => {
    const queue = new RateQueue();
    const one = { tokens: 500, perSecond: 1_000, hostCount: 2, waitMs: 300 };
    expect(queue.scheduleReturn("shop", one, 0)).to.equal(300);
    expect(queue.scheduleReturn("shop", one, 0)).to.equal(1_300);
    expect(queue.scheduleReturn("shop", one, 1_000)).to.equal(1_300);
    expect(queue.scheduleReturn("shop", one, 60_000)).to.equal(300);
  });

  it("tells no caller to stay away for longer than ten seconds", () => {
    const queue = new RateQueue();
    const one = { tokens: 500, perSecond: 0, hostCount: 2, waitMs: Infinity };
    expect(queue.scheduleReturn("shop", one, 0)).to.equal(10_000);
    expect(queue.scheduleReturn("shop", one, 0)).to.equal(10_000);
  });
});
