import * as core from "@ebonypath/core";
import { expect } from "chai";
import * as rateGate from "../../src/gateway/entry/rate_gate.ts";

const RATE = {
  unit: "tokens" as const,
  perSecond: 1_000,
  burst: 1_000,
  plainTokens: 1,
};

describe("a request that waits for a server", () => {
  function createGate(): rateGate.RateGate {
    const rateLimiter = new core.gateway.SharedRateLimiter();
    rateLimiter.setRate("shop", RATE, 0);
    return new rateGate.RateGate({
      view: { isWorkspaceLimited: () => false },
      rateLimiter,
      usageAgeMs: () => 0,
      refreshUsage: () => Promise.resolve(),
    });
  }

  it("leaves its part of the rate to others", () => {
    const gate = createGate();
    expect(gate.tryConsume("shop", 1_000, undefined, 0)).to.equal(undefined);
    const hold = gate.hold("shop", 1_000, () => undefined);
    expect(gate.tryConsume("shop", 800, undefined, 0)?.pollMs).to.equal(800);
    hold.release();
    expect(gate.tryConsume("shop", 800, undefined, 0)).to.equal(undefined);
  });

  it("is sent only when the rate allows it again", () => {
    const gate = createGate();
    gate.tryConsume("shop", 1_000, undefined, 0);
    const hold = gate.hold("shop", 1_000, () => undefined);
    hold.release();
    gate.tryConsume("shop", 500, undefined, 0);
    expect(hold.take(0)).to.equal(false);
    expect(hold.take(500)).to.equal(true);
    expect(hold.fits(500)).to.equal(true);
  });

  it("keeps it once the request has been sent", () => {
    const gate = createGate();
    gate.tryConsume("shop", 1_000, undefined, 0);
    const hold = gate.hold("shop", 1_000, () => undefined);
    hold.take(0);
    hold.release();
    expect(gate.tryConsume("shop", 800, undefined, 0)?.pollMs).to.equal(800);
  });
});
