import { expect } from "chai";
import * as placement from "../../src/placement/mod.ts";

describe("StoreLoadLimiter", () => {
  const limits = placement.DEFAULT_STORE_LIMITS;

  it("admits at most four starts per second and four loads at once", () => {
    const limiter = new placement.StoreLoadLimiter(limits, 0);
    const starts: number[] = [];
    for (let nowMs = 0; nowMs < 5_000; nowMs += 10) {
      if (!limiter.admitsModelLoad(0, nowMs)) continue;
      limiter.recordStart(nowMs);
      starts.push(nowMs);
    }
    starts.forEach((startMs, index) => {
      const fifth = starts[index + 4] ?? Infinity;
      expect(fifth - startMs).to.be.at.least(1_000);
    });
    expect(starts).to.have.length(16);
    expect(limiter.admitsModelLoad(4, 9_000)).to.equal(false);
    expect(limiter.admitsModelLoad(3, 9_000)).to.equal(true);
  });

  it("lowers the concurrency limit while the store is slow", () => {
    const limiter = new placement.StoreLoadLimiter(limits, 0);
    for (let i = 0; i < 10; i++) limiter.recordDuration(3_000, 1_000);
    expect(limiter.concurrencyLimit).to.equal(1);
    for (let i = 0; i < 12; i++) limiter.recordDuration(1_000, 1_000);
    expect(limiter.concurrencyLimit).to.equal(4);
  });

  it("estimates the wait behind earlier loads", () => {
    const limiter = new placement.StoreLoadLimiter(limits, -1_000);
    expect(limiter.expectedWaitMs(3, 500, 0)).to.equal(0);
    expect(limiter.expectedWaitMs(4, 500, 0)).to.equal(500);
    expect(limiter.expectedWaitMs(9, 500, 0)).to.equal(1_000);
  });
});

describe("LoadTimeEstimator", () => {
  it("never estimates a disk to be slower than a fast store", () => {
    const estimator = new placement.LoadTimeEstimator();
    estimator.observeModelLoad("store", 4e9, 1_020);
    expect(estimator.modelLoadMs("store", 4e9)).to.be.closeTo(1_020, 1);
    expect(estimator.modelLoadMs("disk", 4e9)).to.be.closeTo(520, 1);
    estimator.observeModelLoad("disk", 4e9, 320);
    expect(estimator.modelLoadMs("disk", 4e9)).to.be.closeTo(320, 1);
    expect(estimator.modelLoadMs("store", 4e9)).to.be.closeTo(1_020, 1);
  });

  it("learns the rate of each source separately", () => {
    const estimator = new placement.LoadTimeEstimator();
    for (let i = 0; i < 30; i++) estimator.observeModelLoad("disk", 1e9, 5_000);
    expect(estimator.modelLoadMs("disk", 1e9)).to.be.closeTo(5_000, 50);
    expect(estimator.modelLoadMs("store", 1e9)).to.be.closeTo(1_020, 1);
  });
});
