import { expect } from "chai";
import fastCheck from "fast-check";
import { SharedRateLimiter } from "../../src/gateway/mod.ts";
import * as rateFleet from "./rate_fleet.ts";
import * as rateWindows from "./rate_windows.ts";

const RATE = {
  unit: "tokens",
  perSecond: 20_000,
  burst: 20_000,
  plainTokens: 100,
} as const;
const { ELECTION_MS, ENDS_AT, SETTLE_MS, STARTS_AT } = rateFleet;

/** @param load requested tokens, as a multiple of the rate */
function play(
  { load, ...options }: rateFleet.Play & { readonly load: number },
): readonly rateWindows.SimulatedRequest[] {
  const tokensPerSecond = load * RATE.perSecond;
  const workspace = { name: "shop", rate: RATE, tokensPerSecond };
  return rateFleet.play(options, [workspace]).get("shop") ?? [];
}

const SEED = 20_261_206;
const PLAYS = fastCheck.record({
  hostCount: fastCheck.constantFrom(3, 7, 87, 195),
  gapMs: fastCheck.constantFrom(100, 400, 1_000),
  together: fastCheck.constantFrom(1, 2, 5),
  electionAt: fastCheck.option(
    fastCheck.integer({ min: STARTS_AT, max: 12_000 }),
    { nil: undefined },
  ),
});

describe("rates while hosts restart", () => {
  // Each host that began took a full burst, whatever the others had used.
  it("are not exceeded over all hosts", () => {
    fastCheck.assert(
      fastCheck.property(
        PLAYS,
        fastCheck.constantFrom(2, 6, 12),
        (options, load) => {
          expect(rateWindows.busiestWindow(play({ ...options, load }))).to.be.at
            .most(
              rateWindows.allowedTokens(RATE),
            );
        },
      ),
      {
        seed: SEED,
        numRuns: 60,
        examples: [
          // Each of many hosts admitted a request before it told of its last one.
          [{ hostCount: 87, gapMs: 100, together: 5, electionAt: 9_861 }, 6],
          [{ hostCount: 87, gapMs: 100, together: 1, electionAt: 7_231 }, 6],
          // A leader that began counted a workspace as far below its rate.
          [
            { hostCount: 195, gapMs: 1_000, together: 2, electionAt: 11_698 },
            12,
          ],
        ],
      },
    );
  });

  it("let a workspace below them use what it needs", () => {
    fastCheck.assert(
      fastCheck.property(PLAYS, (options) => {
        const requests = play({ ...options, load: 0.6, electionAt: undefined });
        const refused = requests.filter(({ isAdmitted }) => !isAdmitted);
        expect(refused).to.deep.equal([]);
      }),
      { seed: SEED, numRuns: 60 },
    );
  });

  it("let it use that although the leader changes, too, once it has settled", () => {
    fastCheck.assert(
      fastCheck.property(PLAYS, (options) => {
        const { electionAt = ENDS_AT } = options;
        const settledAt = electionAt + ELECTION_MS + SETTLE_MS;
        const refused = play({ ...options, load: 0.6 })
          .filter(({ isAdmitted }) => !isAdmitted)
          .filter(({ at }) => at < electionAt || at > settledAt);
        expect(refused).to.deep.equal([]);
      }),
      { seed: SEED, numRuns: 60 },
    );
  });
});

describe("a rate limiter that begins", () => {
  it("fills its buckets from its start on, until levels are told", () => {
    const limiter = new SharedRateLimiter(1_000);
    limiter.setRate("shop", RATE, 1_500);
    expect(limiter.availableFraction("shop", 1_500)).to.equal(0.5);
    limiter.applyLevels([], true, 1_500);
    expect(limiter.availableFraction("shop", 1_500)).to.equal(1);
  });

  it("takes over told levels less what it has used itself since", () => {
    const limiter = new SharedRateLimiter(0);
    limiter.setRate("shop", RATE, 1_000);
    expect(limiter.tryConsume("shop", 2_000, 1_000)).to.equal(true);
    const report = limiter.usage();
    expect(limiter.tryConsume("shop", 3_000, 1_000)).to.equal(true);
    limiter.acknowledgeUsage(report);
    limiter.applyLevels([{ workspace: "shop", tokens: 12_000 }], true, 1_000);
    expect(limiter.availableFraction("shop", 1_000)).to.equal(0.25);
  });

  it("keeps what it knows if a later leader knows of less", () => {
    const limiter = new SharedRateLimiter(0);
    limiter.setRate("shop", RATE, 1_000);
    limiter.tryConsume("shop", 15_000, 1_000);
    limiter.acknowledgeUsage(limiter.usage());
    limiter.applyLevels([{ workspace: "shop", tokens: 1_000 }], false, 1_000);
    expect(limiter.availableFraction("shop", 1_000)).to.equal(0.25);
    limiter.applyLevels([{ workspace: "shop", tokens: 16_000 }], false, 1_000);
    expect(limiter.availableFraction("shop", 1_000)).to.equal(0.2);
  });

  it("takes over the level of a workspace that it hears of later", () => {
    const limiter = new SharedRateLimiter(0);
    limiter.applyLevels([{ workspace: "shop", tokens: 12_000 }], true, 500);
    limiter.setRate("shop", RATE, 500);
    limiter.setRate("new", RATE, 500);
    expect(limiter.availableFraction("shop", 500)).to.equal(0.4);
    expect(limiter.availableFraction("new", 500)).to.equal(1);
  });
});

describe("a workspace that leaves the configuration and comes back", () => {
  // It got a full burst each time.
  it("continues with what it lacked", () => {
    const limiter = new SharedRateLimiter();
    limiter.setRate("shop", RATE, 0);
    limiter.tryConsume("shop", 20_000, 0);
    limiter.retainWorkspaces(new Set(), 0);
    expect(limiter.missing(250))
      .to.deep.equal([{ workspace: "shop", tokens: 15_000 }]);
    limiter.setRate("shop", RATE, 500);
    expect(limiter.availableFraction("shop", 500)).to.equal(0.5);
    limiter.retainWorkspaces(new Set(), 500);
    limiter.setRate("shop", RATE, 60_000);
    expect(limiter.availableFraction("shop", 60_000)).to.equal(1);
  });
});
