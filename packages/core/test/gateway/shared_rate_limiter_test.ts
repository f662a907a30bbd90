import { expect } from "chai";
import fastCheck from "fast-check";
import { SharedRateLimiter, UsageTracker } from "../../src/gateway/mod.ts";

const RATE = {
  unit: "tokens",
  perSecond: 1_000,
  burst: 1_000,
  plainTokens: 100,
} as const;

describe("gateway shared rate limiter", () => {
  it("admits up to the burst, then at the rate", () => {
    const limiter = new SharedRateLimiter();
    limiter.setRate("shop", RATE, 0);
    expect(limiter.tryConsume("shop", 1_000, 0)).to.equal(true);
    expect(limiter.tryConsume("shop", 100, 50)).to.equal(false);
    expect(limiter.waitMs("shop", 100, 50)).to.be.closeTo(50, 1);
    expect(limiter.tryConsume("shop", 100, 100)).to.equal(true);
  });

  it("limits nothing if no rate is set", () => {
    const limiter = new SharedRateLimiter();
    expect(limiter.tryConsume("shop", 1e9, 0)).to.equal(true);
  });

  it("admits a request larger than the burst when the bucket is full", () => {
    const limiter = new SharedRateLimiter();
    limiter.setRate("shop", RATE, 0);
    expect(limiter.tryConsume("shop", 3_000, 0)).to.equal(true);
    expect(limiter.tryConsume("shop", 1, 1_900)).to.equal(false);
    expect(limiter.tryConsume("shop", 1, 2_100)).to.equal(true);
  });

  it("deducts the usage of others since the last answer", () => {
    const limiter = new SharedRateLimiter();
    limiter.setRate("shop", RATE, 0);
    limiter.applyRemoteUsage(1, [usageOf(500)], 0);
    expect(limiter.tryConsume("shop", 600, 0)).to.equal(true);
    limiter.applyRemoteUsage(1, [usageOf(900)], 0);
    expect(limiter.tryConsume("shop", 1, 0)).to.equal(false);
  });

  it("does not deduct usage twice when the same sum is told again", () => {
    const limiter = new SharedRateLimiter();
    limiter.setRate("shop", RATE, 0);
    limiter.applyRemoteUsage(1, [usageOf(500)], 0);
    limiter.applyRemoteUsage(1, [usageOf(500)], 20);
    expect(limiter.tryConsume("shop", 1_000, 20)).to.equal(true);
  });

  it("deducts all that a new leader has summed since its term began", () => {
    const limiter = new SharedRateLimiter();
    limiter.setRate("shop", RATE, 0);
    limiter.applyRemoteUsage(1, [usageOf(500)], 0);
    limiter.applyRemoteUsage(2, [usageOf(400)], 0);
    expect(limiter.tryConsume("shop", 601, 0)).to.equal(false);
    expect(limiter.tryConsume("shop", 600, 0)).to.equal(true);
  });

  it("ignores a late answer of an earlier leader", () => {
    const limiter = new SharedRateLimiter();
    limiter.setRate("shop", RATE, 0);
    limiter.applyRemoteUsage(1, [usageOf(500)], 0);
    limiter.applyRemoteUsage(2, [usageOf(400)], 0);
    limiter.applyRemoteUsage(1, [usageOf(600)], 0);
    limiter.applyRemoteUsage(2, [usageOf(400)], 0);
    expect(limiter.tryConsume("shop", 600, 0)).to.equal(true);
  });

  it("reports what has changed since the last answer", () => {
    const limiter = new SharedRateLimiter();
    limiter.tryConsume("shop", 300, 0);
    const report = limiter.usage();
    expect(report)
      .to.deep.equal([{ workspace: "shop", tokens: 300, acknowledged: 0 }]);
    limiter.tryConsume("shop", 50, 0);
    limiter.acknowledgeUsage(report);
    expect(limiter.usage())
      .to.deep.equal([{ workspace: "shop", tokens: 350, acknowledged: 300 }]);
    limiter.acknowledgeUsage(limiter.usage());
    expect(limiter.usage()).to.deep.equal([]);
  });

  it("exceeds the rate over all hosts by one exchange at most", () => {
    const arrivals = fastCheck.array(
      fastCheck.record({
        host: fastCheck.nat(3),
        gapMs: fastCheck.nat(40),
        tokens: fastCheck.integer({ min: 1, max: 300 }),
      }),
      { minLength: 50, maxLength: 400 },
    );
    fastCheck.assert(fastCheck.property(arrivals, (steps) => {
      const { overuse, maxPerExchange } = simulate(steps);
      expect(overuse).to.be.at.most(maxPerExchange + 300);
    }));
  });
});

const EXCHANGE_MS = 200;

type Step = {
  readonly host: number;
  readonly gapMs: number;
  readonly tokens: number;
};

/** Simulates arrivals at four hosts that exchange their usage. */
function simulate(steps: readonly Step[]): {
  readonly overuse: number;
  readonly maxPerExchange: number;
} {
  const hosts = Array.from({ length: 4 }, () => new SharedRateLimiter());
  for (const host of hosts) {
    host.setRate("shop", RATE, 0);
    host.applyRemoteUsage(1, [], 0);
  }
  let now = 0;
  let admitted = 0;
  let overuse = 0;
  let tokensSinceExchange = 0;
  let maxPerExchange = 0;
  let nextExchangeAt = EXCHANGE_MS;
  const tracker = new UsageTracker();
  for (const { gapMs, host, tokens } of steps) {
    now += gapMs;
    if (now >= nextExchangeAt) {
      exchange(tracker, hosts, now);
      nextExchangeAt = now + EXCHANGE_MS;
      tokensSinceExchange = 0;
    }
    if (hosts[host]?.tryConsume("shop", tokens, now)) {
      admitted += tokens;
      tokensSinceExchange += tokens;
    }
    maxPerExchange = Math.max(maxPerExchange, tokensSinceExchange);
    overuse = Math.max(overuse, admitted - RATE.burst - now);
  }
  return { overuse, maxPerExchange };
}

function exchange(
  tracker: UsageTracker,
  hosts: readonly SharedRateLimiter[],
  now: number,
): void {
  hosts.forEach((host, at) => {
    const usage = host.usage();
    tracker.recordUsage(`h${at}`, usage);
    host.acknowledgeUsage(usage);
  });
  hosts.forEach((host, at) =>
    host.applyRemoteUsage(1, tracker.othersUsage(`h${at}`, 0), now)
  );
}

function usageOf(tokens: number) {
  return { workspace: "shop", tokens };
}
