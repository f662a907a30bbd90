import { expect } from "chai";
import { ReadingEstimate, ServerPaces } from "../../src/gateway/mod.ts";

const SLOW = {
  server: "s1",
  born: 1,
  model: "m",
  count: 1,
  logRatio: Math.log(2),
};

describe("paces of servers", () => {
  it("shows a slow server after a few answers", () => {
    const paces = new ServerPaces();
    for (let at = 0; at < 1_500; at += 250) paces.record(SLOW, at);
    expect(paces.paceOf("s1", 1, 1_500)).to.be.above(1.3);
  });

  it("doesn't condemn a server for one stall", () => {
    const paces = new ServerPaces();
    paces.record({ ...SLOW, logRatio: Math.log(500) }, 0);
    expect(paces.paceOf("s1", 1, 0)).to.be.below(1.5);
  });

  it("forgets a slow spell that is over", () => {
    const paces = new ServerPaces();
    for (let at = 0; at < 1_500; at += 250) paces.record(SLOW, at);
    expect(paces.paceOf("s1", 1, 20_000)).to.be.within(0.9, 1.1);
  });

  it("begins anew with a server that has started anew", () => {
    const paces = new ServerPaces();
    for (let at = 0; at < 1_500; at += 250) paces.record(SLOW, at);
    expect(paces.paceOf("s1", 2, 1_500)).to.equal(1);
  });

  it("doesn't hold a slow model against its servers", () => {
    const paces = new ServerPaces();
    for (let at = 0; at < 20_000; at += 250) {
      for (const server of ["s1", "s2", "s3"]) {
        paces.record({ ...SLOW, server, model: "slow" }, at);
        paces.record({ ...SLOW, server, logRatio: -Math.log(2) }, at);
      }
    }
    paces.record({ ...SLOW, server: "s4", model: "slow" }, 20_000);
    expect(paces.paceOf("s4", 1, 20_000)).to.be.within(0.9, 1.15);
  });
});

describe("estimate of the time to read a prompt", () => {
  it("learns a reading speed that differs from the usual one", () => {
    const estimate = new ReadingEstimate();
    for (let number = 0; number < 200; number += 1) {
      const tokens = 200 + number % 10 * 300;
      estimate.record({ tokens, utilization: 0 }, 60 + 0.12 * tokens);
    }
    expect(estimate.expectedMs({ tokens: 2_000, utilization: 0 }))
      .to.be.within(270, 330);
  });

  it("isn't turned around by a stalled answer", () => {
    const estimate = new ReadingEstimate();
    estimate.record({ tokens: 100, utilization: 0 }, 60_000);
    expect(estimate.msPerToken).to.be.above(0.02);
    expect(estimate.expectedMs({ tokens: 1_000, utilization: 0 }))
      .to.be.within(50, 150);
  });
});
