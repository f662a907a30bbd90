import { limits } from "@ebonypath/core";
import { expect } from "chai";

const SERVER = "engine-1/a";
/** Deadline of each request, in milliseconds. */
const DEADLINE = 1_000;
/** Time at which the request is abandoned, in milliseconds. */
const ABANDONED_AT = 500;

/** A host that has abandoned its only request on the only server. */
function withAbandonedRequest() {
  const allocator = new limits.ShareAllocator();
  allocator.takeLeadership({ term: 1, isFirst: true }, 0);
  allocator.setSlots(SERVER, 1, 0);
  const shares = new limits.HostShares("host-1");
  const exchange = (now: number, by = shares) => {
    const report = by.report(now, true);
    if (report !== undefined) by.accept(allocator.exchange(report, now), now);
  };
  shares.setWaitingSlots(SERVER, { count: 1, since: 0 });
  exchange(0);
  const acquired = shares.acquireSlot(SERVER, DEADLINE, 1);
  if (acquired.kind !== "acquired") throw new Error("no slot");
  exchange(ABANDONED_AT - 1);
  shares.abandonSlot(acquired.slot, "neutral", ABANDONED_AT);
  const { slot } = acquired;
  return { allocator, shares, exchange, slot };
}

/** Renews until `end`; the server reports `running` requests, if defined. */
function runUntil(
  end: number,
  { allocator, exchange }: ReturnType<typeof withAbandonedRequest>,
  running: number | undefined,
): void {
  for (let now = 1_000; now <= end; now += 500) {
    if (running !== undefined) allocator.observeRunning(SERVER, running, now);
    exchange(now);
  }
}

describe("slots of abandoned requests", () => {
  it("stay in use at first and after the deadline of the request", () => {
    const fleet = withAbandonedRequest();
    expect(fleet.shares.availableSlots(SERVER, ABANDONED_AT)).to.equal(0);
    runUntil(10_000, fleet, 1);
    expect(fleet.shares.availableSlots(SERVER, 10_000)).to.equal(0);
    expect(fleet.shares.runningOn(SERVER)).to.equal(0);
  });

  it("are freed when the server reports no running requests", () => {
    const fleet = withAbandonedRequest();
    runUntil(4_000, fleet, 0);
    expect(fleet.shares.availableSlots(SERVER, 4_000)).to.equal(1);
  });

  it("stay in use while the server's report may be out of date", () => {
    const fleet = withAbandonedRequest();
    const early = ABANDONED_AT + limits.MAX_LOAD_REPORT_LAG_MS - 1;
    fleet.allocator.observeRunning(SERVER, 0, early);
    for (let now = early; now <= 20_000; now += 500) fleet.exchange(now);
    expect(fleet.shares.availableSlots(SERVER, 20_000)).to.equal(0);
  });

  it("are freed after a timeout when the server reports nothing", () => {
    const fleet = withAbandonedRequest();
    const end = ABANDONED_AT + limits.ABANDONED_SLOT_HOLD_MS;
    runUntil(end - 500, fleet, undefined);
    expect(fleet.shares.availableSlots(SERVER, end - 1)).to.equal(0);
    fleet.exchange(end);
    expect(fleet.shares.availableSlots(SERVER, end)).to.equal(1);
  });

  it("count as in use for the next leader", () => {
    const fleet = withAbandonedRequest();
    const nextAllocator = new limits.ShareAllocator();
    nextAllocator.takeLeadership({ term: 2 }, 1_000);
    nextAllocator.setSlots(SERVER, 1, 1_000);
    const other = new limits.HostShares("host-2");
    other.setWaitingSlots(SERVER, { count: 1, since: 0 });
    for (let now = 1_000; now <= 10_000; now += 500) {
      for (const shares of [fleet.shares, other]) {
        const report = shares.report(now, true);
        if (report !== undefined) {
          shares.accept(nextAllocator.exchange(report, now), now);
        }
      }
    }
    expect(other.availableSlots(SERVER, 10_000)).to.equal(0);
  });

  it("move to another host once the server runs fewer requests", () => {
    const fleet = withAbandonedRequest();
    fleet.shares.setWaitingSlots(SERVER, undefined);
    const other = new limits.HostShares("host-2");
    other.setWaitingSlots(SERVER, { count: 1, since: 0 });
    for (let now = 1_000; now <= 20_000; now += 500) {
      if (now <= 4_000) {
        expect(other.availableSlots(SERVER, now)).to.equal(0);
      }
      fleet.allocator.observeRunning(SERVER, now < 4_000 ? 1 : 0, now);
      fleet.exchange(now);
      fleet.exchange(now, other);
    }
    expect(other.availableSlots(SERVER, 20_000)).to.equal(1);
  });

  it("are freed when the server is known to have ended the request", () => {
    const fleet = withAbandonedRequest();
    fleet.shares.confirmEnd(fleet.slot);
    expect(fleet.shares.availableSlots(SERVER, ABANDONED_AT)).to.equal(1);
  });

  it("stay in use when the slot is released as well", () => {
    const fleet = withAbandonedRequest();
    fleet.shares.releaseSlot(fleet.slot, "succeeded");
    expect(fleet.shares.availableSlots(SERVER, ABANDONED_AT)).to.equal(0);
  });
});
