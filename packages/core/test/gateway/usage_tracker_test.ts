import { expect } from "chai";
import fastCheck from "fast-check";
import { SharedRateLimiter, UsageTracker } from "../../src/gateway/mod.ts";

const SEED = 20_261_205;
const RATE = {
  unit: "tokens" as const,
  perSecond: 0,
  burst: 1_000_000,
  plainTokens: 1,
};

const HOSTS = ["h0", "h1", "h2"];

function used(workspace: string, tokens: number, acknowledged = 0) {
  return { workspace, tokens, acknowledged };
}

describe("gateway usage tracker", () => {
  it("returns the sum of the others, of what has changed", () => {
    const tracker = new UsageTracker();
    tracker.recordUsage("h1", [used("a", 5)]);
    tracker.recordUsage("h2", [used("a", 7), used("b", 1)]);
    expect(tracker.othersUsage("h1", 0)).to.deep.equal([
      { workspace: "a", tokens: 7 },
      { workspace: "b", tokens: 1 },
    ]);
    const { revision } = tracker;
    tracker.recordUsage("h2", [used("a", 9), used("b", 1)]);
    expect(tracker.othersUsage("h1", revision))
      .to.deep.equal([{ workspace: "a", tokens: 9 }]);
    expect(tracker.othersUsage("h1", tracker.revision)).to.deep.equal([]);
  });

  it("counts what a host used since the last answer of an earlier leader", () => {
    const tracker = new UsageTracker();
    tracker.recordUsage("h1", [used("a", 900, 800)]);
    expect(tracker.othersUsage("h2", 0))
      .to.deep.equal([{ workspace: "a", tokens: 100 }]);
  });

  it("does not count a host's own usage as that of others", () => {
    const tracker = new UsageTracker();
    tracker.recordUsage("h1", [used("a", 5)]);
    tracker.recordUsage("h1", [used("a", 5)]);
    expect(tracker.othersUsage("h1", 0))
      .to.deep.equal([{ workspace: "a", tokens: 0 }]);
  });

  const step = fastCheck.record({
    host: fastCheck.nat(2),
    tokens: fastCheck.nat(500),
    isLost: fastCheck.boolean(),
    isNewLeader: fastCheck.integer({ min: 0, max: 9 })
      .map((value) => value === 0),
  });
  const steps = fastCheck.array(step, { minLength: 10, maxLength: 60 });

  it("deducts remote usage once at each host, whichever answers are lost", () => {
    fastCheck.assert(
      fastCheck.property(steps, (exchanges) => {
        const fleet = new SimulatedFleet();
        for (const { host, isLost, tokens } of exchanges) {
          fleet.use(host, tokens);
          fleet.exchange(host, isLost);
        }
        fleet.exchangeAll();
        // The rate is 0, so all buckets are left with the same level.
        for (const limiter of fleet.limiters) {
          expect(limiter.tryConsume("a", RATE.burst - fleet.used + 1, 0))
            .to.equal(false);
          expect(limiter.tryConsume("a", RATE.burst - fleet.used, 0))
            .to.equal(true);
        }
      }),
      { seed: SEED, numRuns: 200 },
    );
  });

  it("deducts too little or too much by what one leader could not tell, at most", () => {
    fastCheck.assert(
      fastCheck.property(steps, (exchanges) => {
        const fleet = new SimulatedFleet();
        for (const { host, isLost, isNewLeader, tokens } of exchanges) {
          if (isNewLeader) fleet.changeLeader();
          fleet.use(host, tokens);
          fleet.exchange(host, isLost);
        }
        fleet.exchangeAll();
        fleet.limiters.forEach((limiter, at) => {
          const level = RATE.burst * limiter.availableFraction("a", 0);
          const deducted = RATE.burst - level;
          expect(deducted).to.be.at.least(fleet.used - fleet.untold[at]!);
          expect(deducted).to.be.at.most(fleet.used + fleet.counted[at]!);
        });
      }),
      { seed: SEED, numRuns: 200 },
    );
  });
});

/** Hosts that use one workspace's rate and exchange their usage. */
class SimulatedFleet {
  readonly limiters = HOSTS.map(() => {
    const limiter = new SharedRateLimiter();
    limiter.setRate("a", RATE, 0);
    return limiter;
  });
  used = 0;
  /** Usage that leaders knew at their end and had not told each host. */
  readonly untold = HOSTS.map(() => 0);
  /** Usage that leaders knew at their end without having answered its host. */
  readonly counted = HOSTS.map(() => 0);
  readonly #answered = HOSTS.map(() => ({ term: 0, revision: 0 }));
  /** Usage of all hosts that the leader had told each host. */
  readonly #told = HOSTS.map(() => 0);
  /** Part of each host's reported usage that is not acknowledged to it. */
  readonly #unacknowledged = HOSTS.map(() => 0);
  #tracker = new UsageTracker();
  #term = 1;

  constructor() {
    // Every host gets an answer before there is any usage.
    for (const at of HOSTS.keys()) this.exchange(at, false);
  }

  use(host: number, tokens: number): void {
    this.limiters[host]!.tryConsume("a", tokens, 0);
    this.used += tokens;
  }

  exchange(at: number, isLost: boolean): void {
    const limiter = this.limiters[at]!;
    const name = HOSTS[at]!;
    const last = this.#answered[at]!;
    const usage = limiter.usage();
    this.#tracker.recordUsage(name, usage);
    const others = this.#tracker.othersUsage(
      name,
      last.term === this.#term ? last.revision : 0,
    );
    if (isLost) {
      this.#unacknowledged[at] = usage
        .reduce((sum, one) => sum + one.tokens - one.acknowledged, 0);
      return;
    }
    this.#unacknowledged[at] = 0;
    this.#answered[at] = { term: this.#term, revision: this.#tracker.revision };
    limiter.acknowledgeUsage(usage);
    limiter.applyRemoteUsage(this.#term, others, 0);
    this.#told[at] = this.#othersOf(at);
  }

  exchangeAll(): void {
    for (const _ of HOSTS) {
      for (const at of HOSTS.keys()) this.exchange(at, false);
    }
  }

  changeLeader(): void {
    for (const at of HOSTS.keys()) {
      this.untold[at]! += this.#othersOf(at) - this.#told[at]!;
      this.#told[at] = 0;
      for (const other of HOSTS.keys()) {
        if (other !== at) this.counted[at]! += this.#unacknowledged[other]!;
      }
    }
    this.#tracker = new UsageTracker();
    this.#term += 1;
  }

  /** Usage of the other hosts that the leader knows. */
  #othersOf(at: number): number {
    return this.#tracker.othersUsage(HOSTS[at]!, 0)
      .reduce((sum, { tokens }) => sum + tokens, 0);
  }
}
