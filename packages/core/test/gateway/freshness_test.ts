import { expect } from "chai";
import type { ClockReading } from "../../src/gateway/borrowed_units.ts";
import { Freshness } from "../../src/gateway/freshness.ts";

/** Difference between the two clocks, in milliseconds. */
const WALL_OFFSET_MS = 1_000_000;

function clocks(monotonicMs: number, suspendedMs = 0): ClockReading {
  return { monotonicMs, wallMs: monotonicMs + WALL_OFFSET_MS + suspendedMs };
}

describe("the age of what a host knows", () => {
  it("is unknown before the leader has answered", () => {
    expect(new Freshness().ageMs(clocks(5))).to.equal(Infinity);
  });

  it("counts from the request and the time that the leader held it", () => {
    const freshness = new Freshness();
    freshness.confirm(clocks(100), 900);
    // The answer arrives at 1,700 after a delay of 700 ms.
    expect(freshness.ageMs(clocks(1_700))).to.equal(700);
  });

  it("does not grow by an answer that was overtaken", () => {
    const freshness = new Freshness();
    freshness.confirm(clocks(1_000), 0);
    freshness.confirm(clocks(100), 500);
    expect(freshness.ageMs(clocks(1_200))).to.equal(200);
  });

  it("includes a suspension of the host", () => {
    const freshness = new Freshness();
    freshness.confirm(clocks(1_000), 0);
    expect(freshness.ageMs(clocks(1_010, 5_000))).to.equal(5_010);
  });

  it("does not shrink by a step of the wall clock", () => {
    const freshness = new Freshness();
    freshness.confirm(clocks(1_000), 0);
    expect(freshness.ageMs(clocks(1_300, -4_000))).to.equal(300);
  });
});
