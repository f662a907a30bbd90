import { limits } from "@ebonypath/core";
import { expect } from "chai";

const SERVER = "engine-1/a";
/** Deadline of each request, in milliseconds. */
const DEADLINE = 1_000;
/** When the request is given up, in milliseconds. */
const GIVEN_UP = 500;

/** A host before one server, whose only request it has given up. */
function givenUp() {
  const leader = new limits.ShareAllocator();
  leader.takeLeadership({ term: 1, isFirst: true }, 0);
  leader.setSlots(SERVER, 1, 0);
  const holder = new limits.HostShares("host-1");
  const exchange = (now: number, by = holder) => {
    const report = by.report(now, true);
    if (report !== undefined) by.accept(leader.exchange(report, now), now);
  };
  holder.setWaitingSlots(SERVER, { count: 1, since: 0 });
  exchange(0);
  const taken = holder.acquireSlot(SERVER, DEADLINE, 1);
  if (taken.kind !== "acquired") throw new Error("no slot");
  exchange(GIVEN_UP - 1);
  holder.abandonSlot(taken.slot, "neutral", GIVEN_UP);
  const { slot } = taken;
  return { leader, holder, exchange, slot };
}

/** Renews until `end` and says each second what the server runs. */
function runUntil(
  end: number,
  { leader, exchange }: ReturnType<typeof givenUp>,
  running: number | undefined,
): void {
  for (let now = 1_000; now <= end; now += 500) {
    if (running !== undefined) leader.observeRunning(SERVER, running, now);
    exchange(now);
  }
}

describe("slots of requests that were given up", () => {
  it("stay taken at once, and past the deadline of the request", () => {
    const fleet = givenUp();
    expect(fleet.holder.availableSlots(SERVER, GIVEN_UP)).to.equal(0);
    runUntil(10_000, fleet, 1);
    expect(fleet.holder.availableSlots(SERVER, 10_000)).to.equal(0);
    expect(fleet.holder.runningOn(SERVER)).to.equal(0);
  });

  it("are free when the server says that it runs nothing", () => {
    const fleet = givenUp();
    runUntil(4_000, fleet, 0);
    expect(fleet.holder.availableSlots(SERVER, 4_000)).to.equal(1);
  });

  it("stay taken while what the server says may be older", () => {
    const fleet = givenUp();
    const early = GIVEN_UP + limits.MAX_LOAD_REPORT_LAG_MS - 1;
    fleet.leader.observeRunning(SERVER, 0, early);
    for (let now = early; now <= 20_000; now += 500) fleet.exchange(now);
    expect(fleet.holder.availableSlots(SERVER, 20_000)).to.equal(0);
  });

  it("are free some time later when the server says nothing", () => {
    const fleet = givenUp();
    const end = GIVEN_UP + limits.ABANDONED_SLOT_HOLD_MS;
    runUntil(end - 500, fleet, undefined);
    expect(fleet.holder.availableSlots(SERVER, end - 1)).to.equal(0);
    fleet.exchange(end);
    expect(fleet.holder.availableSlots(SERVER, end)).to.equal(1);
  });

  it("are counted by a leader that comes after", () => {
    const fleet = givenUp();
    const next = new limits.ShareAllocator();
    next.takeLeadership({ term: 2 }, 1_000);
    next.setSlots(SERVER, 1, 1_000);
    const other = new limits.HostShares("host-2");
    other.setWaitingSlots(SERVER, { count: 1, since: 0 });
    for (let now = 1_000; now <= 10_000; now += 500) {
      for (const holder of [fleet.holder, other]) {
        const report = holder.report(now, true);
        if (report !== undefined) {
          holder.accept(next.exchange(report, now), now);
        }
      }
    }
    expect(other.availableSlots(SERVER, 10_000)).to.equal(0);
  });

  it("go to another host once the server runs fewer", () => {
    const fleet = givenUp();
    fleet.holder.setWaitingSlots(SERVER, undefined);
    const other = new limits.HostShares("host-2");
    other.setWaitingSlots(SERVER, { count: 1, since: 0 });
    for (let now = 1_000; now <= 20_000; now += 500) {
      if (now <= 4_000) {
        expect(other.availableSlots(SERVER, now)).to.equal(0);
      }
      fleet.leader.observeRunning(SERVER, now < 4_000 ? 1 : 0, now);
      fleet.exchange(now);
      fleet.exchange(now, other);
    }
    expect(other.availableSlots(SERVER, 20_000)).to.equal(1);
  });

  it("are free when the server is known to have ended them", () => {
    const fleet = givenUp();
    fleet.holder.confirmEnd(fleet.slot);
    expect(fleet.holder.availableSlots(SERVER, GIVEN_UP)).to.equal(1);
  });

  it("stay taken when the slot is given back as well", () => {
    const fleet = givenUp();
    fleet.holder.releaseSlot(fleet.slot, "succeeded");
    expect(fleet.holder.availableSlots(SERVER, GIVEN_UP)).to.equal(0);
  });
});
