import { expect } from "chai";
import * as stallDetector from "../../src/listener/stall_detector.ts";

describe("a stall detector", () => {
  let now: number;
  let stalls: stallDetector.StallDetector;

  beforeEach(() => {
    now = 1_000;
    stalls = new stallDetector.StallDetector(() => now);
  });

  afterEach(() => stalls[Symbol.dispose]());

  it("sees a stall from its end on, whether a timer or a request comes first", () => {
    expect(stalls.isAfterStall()).to.equal(false);
    now += 2_000;
    expect(stalls.isAfterStall(), "before the timer").to.equal(true);
    stalls.recordTurn();
    expect(stalls.isAfterStall(), "after the timer").to.equal(true);
  });

  it("forgets a stall when what arrived in it has been read", () => {
    now += 2_000;
    stalls.recordTurn();
    for (let turn = 0; turn < 10; turn += 1) {
      now += 100;
      stalls.recordTurn();
    }
    expect(stalls.isAfterStall()).to.equal(false);
  });

  it("sees none while the event loop turns a little late", () => {
    now += 300;
    expect(stalls.isAfterStall()).to.equal(false);
    stalls.recordTurn();
    expect(stalls.isAfterStall()).to.equal(false);
  });
});
