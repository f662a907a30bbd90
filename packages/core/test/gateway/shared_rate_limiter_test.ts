import { expect } from "chai";
import fastCheck from "fast-check";
import { SharedRateLimiter } from "../../src/gateway/mod.ts";

const RATE = {
  unit: "tokens",
  perSecond: 1_000,
  burst: 1_000,
  plainTokens: 100,
} as const;

describe("gateway usage meter", () => {
  it("admits up to the burst, then at the rate", () => {
    const meter = new SharedRateLimiter();
    meter.setRate("shop", RATE, 0);
    expect(meter.tryConsume("shop", 1_000, 0)).to.equal(true);
    expect(meter.tryConsume("shop", 100, 50)).to.equal(false);
    expect(meter.waitMs("shop", 100, 50)).to.be.closeTo(50, 1);
    expect(meter.tryConsume("shop", 100, 100)).to.equal(true);
  });

  it("limits nothing where no rate is set", () => {
    const meter = new SharedRateLimiter();
    expect(meter.tryConsume("shop", 1e9, 0)).to.equal(true);
  });

  it("admits a request larger than the burst when the bucket is full", () => {
    const meter = new SharedRateLimiter();
    meter.setRate("shop", RATE, 0);
    expect(meter.tryConsume("shop", 3_000, 0)).to.equal(true);
    expect(meter.tryConsume("shop", 1, 1_900)).to.equal(false);
    expect(meter.tryConsume("shop", 1, 2_100)).to.equal(true);
  });

  it("counts a host that starts later from its beginning", () => {
    const meter = new SharedRateLimiter();
    meter.setRate("shop", RATE, 0);
    meter.applyRemoteUsage([{ host: "b", usage: [use(500)] }], 0);
    expect(meter.tryConsume("shop", 600, 0)).to.equal(true);
    meter.applyRemoteUsage([{ host: "c", usage: [use(400)] }], 0);
    expect(meter.tryConsume("shop", 1, 0)).to.equal(false);
  });

  it("does not count a host twice that was silent for a while", () => {
    const meter = new SharedRateLimiter();
    meter.setRate("shop", RATE, 0);
    meter.applyRemoteUsage([{ host: "b", usage: [use(500)] }], 0);
    meter.applyRemoteUsage([{ host: "c", usage: [use(0)] }], 10);
    meter.applyRemoteUsage([{ host: "b", usage: [use(500)] }], 20);
    expect(meter.tryConsume("shop", 1_000, 20)).to.equal(true);
  });

  it("keeps the rate over all hosts but for one exchange", () => {
    const arrivals = fastCheck.array(
      fastCheck.record({
        host: fastCheck.nat(3),
        gapMs: fastCheck.nat(40),
        tokens: fastCheck.integer({ min: 1, max: 300 }),
      }),
      { minLength: 50, maxLength: 400 },
    );
    fastCheck.assert(fastCheck.property(arrivals, (steps) => {
      const { overUse, perExchange } = play(steps);
      expect(overUse).to.be.at.most(perExchange + 300);
    }));
  });
});

const EXCHANGE_MS = 200;

type Step = {
  readonly host: number;
  readonly gapMs: number;
  readonly tokens: number;
};

/** Plays arrivals at four hosts that exchange what they use. */
function play(steps: readonly Step[]): {
  readonly overUse: number;
  readonly perExchange: number;
} {
  const hosts = Array.from({ length: 4 }, () => new SharedRateLimiter());
  for (const host of hosts) {
    host.setRate("shop", RATE, 0);
    host.applyRemoteUsage([{ host: "none", usage: [] }], 0);
  }
  let now = 0;
  let admitted = 0;
  let overUse = 0;
  let sinceExchange = 0;
  let perExchange = 0;
  let exchangeAt = EXCHANGE_MS;
  for (const { gapMs, host, tokens } of steps) {
    now += gapMs;
    if (now >= exchangeAt) {
      exchange(hosts, now);
      exchangeAt = now + EXCHANGE_MS;
      sinceExchange = 0;
    }
    if (hosts[host]?.tryConsume("shop", tokens, now)) {
      admitted += tokens;
      sinceExchange += tokens;
    }
    perExchange = Math.max(perExchange, sinceExchange);
    overUse = Math.max(overUse, admitted - RATE.burst - now);
  }
  return { overUse, perExchange };
}

function exchange(hosts: readonly SharedRateLimiter[], now: number): void {
  const reports = hosts.map((host, at) => ({
    host: `h${at}`,
    usage: host.usage(),
  }));
  hosts.forEach((host, at) =>
    host.applyRemoteUsage(
      reports.filter((report) => report.host !== `h${at}`),
      now,
    )
  );
}

function use(tokens: number) {
  return { workspace: "shop", tokens };
}
