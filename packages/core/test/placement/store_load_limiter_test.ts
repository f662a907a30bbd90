import { expect } from "chai";
import * as placement from "../../src/placement/mod.ts";

describe("gate of the weight store", () => {
  const limits = placement.DEFAULT_STORE_LIMITS;

  it("admits at most four starts in any second and four loads at once", () => {
    const gate = new placement.StoreLoadLimiter(limits, 0);
    const starts: number[] = [];
    for (let nowMs = 0; nowMs < 5_000; nowMs += 10) {
      if (!gate.admitsModelLoad(0, nowMs)) continue;
      gate.recordStart(nowMs);
      starts.push(nowMs);
    }
    starts.forEach((startMs, place) => {
      const fifth = starts[place + 4] ?? Infinity;
      expect(fifth - startMs).to.be.at.least(1_000);
    });
    expect(starts).to.have.length(16);
    expect(gate.admitsModelLoad(4, 9_000)).to.equal(false);
    expect(gate.admitsModelLoad(3, 9_000)).to.equal(true);
  });

  it("runs fewer loads at once while the store is slow", () => {
    const gate = new placement.StoreLoadLimiter(limits, 0);
    for (let i = 0; i < 10; i++) gate.recordDuration(3_000, 1_000);
    expect(gate.concurrencyLimit).to.equal(1);
    for (let i = 0; i < 12; i++) gate.recordDuration(1_000, 1_000);
    expect(gate.concurrencyLimit).to.equal(4);
  });

  it("estimates the wait behind other loads", () => {
    const gate = new placement.StoreLoadLimiter(limits, -1_000);
    expect(gate.expectedWaitMs(3, 500, 0)).to.equal(0);
    expect(gate.expectedWaitMs(4, 500, 0)).to.equal(500);
    expect(gate.expectedWaitMs(9, 500, 0)).to.equal(1_000);
  });

  it("takes no disk for slower than a store that is fast", () => {
    const estimates = new placement.LoadTimeEstimator();
    estimates.observeModelLoad("store", 4e9, 1_020);
    expect(estimates.modelLoadMs("store", 4e9)).to.be.closeTo(1_020, 1);
    expect(estimates.modelLoadMs("disk", 4e9)).to.be.closeTo(520, 1);
    estimates.observeModelLoad("disk", 4e9, 320);
    expect(estimates.modelLoadMs("disk", 4e9)).to.be.closeTo(320, 1);
    expect(estimates.modelLoadMs("store", 4e9)).to.be.closeTo(1_020, 1);
  });

  it("learns the speed of each place", () => {
    const estimates = new placement.LoadTimeEstimator();
    for (let i = 0; i < 30; i++) estimates.observeModelLoad("disk", 1e9, 5_000);
    expect(estimates.modelLoadMs("disk", 1e9)).to.be.closeTo(5_000, 50);
    expect(estimates.modelLoadMs("store", 1e9)).to.be.closeTo(1_020, 1);
  });
});
