import { expect } from "chai";
import { CallSchedule, nextWindow } from "../../src/duties/mod.ts";

const TIMING = { windowMs: 5_000, dueMs: 10_000 };

describe("closing of windows", () => {
  it("leaves hosts time to tell what they counted", () => {
    const situation = { ...TIMING, closedWindow: 0 };
    expect(nextWindow({ ...situation, timeMs: 13_999 })).to.equal(undefined);
    expect(nextWindow({ ...situation, timeMs: 14_000 })).to.equal(1);
  });

  it("leaves a new leader time to take over before a report is due", () => {
    const takeoverMs = 3_300;
    const electionMs = 1_200;
    const dueAt = 10_000 + TIMING.dueMs;
    const timeMs = dueAt - takeoverMs - electionMs;
    expect(nextWindow({ ...TIMING, closedWindow: 0, timeMs })).to.equal(1);
  });

  it("skips no window, also if nothing was counted", () => {
    const situation = { ...TIMING, closedWindow: 2, timeMs: 60_000 };
    expect(nextWindow(situation)).to.equal(3);
  });

  it("skips what hosts no longer know", () => {
    const situation = { ...TIMING, closedWindow: 0, timeMs: 5_000_000 };
    expect(nextWindow(situation)).to.equal(998 - 63);
  });

  it("closes no window again after a step back of the clock", () => {
    const situation = { ...TIMING, closedWindow: 9, timeMs: 20_000 };
    expect(nextWindow(situation)).to.equal(undefined);
  });
});

describe("call schedule", () => {
  it("waits longer with each failure, and not beyond 2 s", () => {
    const schedule = new CallSchedule(0);
    const waits = [1, 2, 3, 4, 5].map(() => {
      schedule.record("a", { kind: "unavailable" }, 0);
      let now = 0;
      while (schedule.next(["a"], now) === undefined) now += 50;
      return now;
    });
    expect(waits).to.deep.equal([250, 500, 1_000, 2_000, 2_000]);
  });

  it("repeats the call that was not accepted first", () => {
    const schedule = new CallSchedule(0);
    schedule.record("a", { kind: "unavailable" }, 0);
    expect(schedule.next(["a", "b"], 300)).to.equal("a");
  });

  it("makes other calls while one is refused", () => {
    const schedule = new CallSchedule(0);
    schedule.record("a", { kind: "refused" }, 0);
    expect(schedule.next(["a", "b"], 1)).to.equal("b");
    expect(schedule.next(["a"], 250)).to.equal("a");
  });

  it("stays within half of the allowed rate", () => {
    const schedule = new CallSchedule(10);
    schedule.record("a", { kind: "accepted" }, 0);
    expect(schedule.next(["b"], 199)).to.equal(undefined);
    expect(schedule.next(["b"], 200)).to.equal("b");
  });
});
