import { expect } from "chai";
import { limits } from "@ebonypath/core";

const SERVER = "engine-1/a";

/** Two hosts before one server that bears two requests. */
function twoHosts() {
  const leader = new limits.ShareAllocator();
  leader.takeLeadership({ term: 1, isFirst: true }, 0);
  leader.setSlots(SERVER, 2, 0);
  const idle = new limits.HostShares("idle");
  const waiting = new limits.HostShares("waiting");
  const exchange = (
    holder: limits.HostShares,
    now: number,
    isRecalled = false,
  ) => {
    const report = holder.report(now, isRecalled);
    if (report !== undefined) holder.accept(leader.exchange(report, now), now);
  };
  return { leader, idle, waiting, exchange };
}

/** The idle host has run a request and keeps both slots. */
function withIdleSlots() {
  const hosts = twoHosts();
  const { idle, exchange } = hosts;
  idle.setWaitingSlots(SERVER, { count: 2, since: 0 });
  exchange(idle, 0);
  idle.setWaitingSlots(SERVER, undefined);
  const taken = [0, 1].map(() => idle.acquireSlot(SERVER, 1_000, 1));
  for (const one of taken) {
    if (one.kind === "acquired") idle.releaseSlot(one.slot, "succeeded");
  }
  exchange(idle, 200);
  hosts.leader.takeRecallRequest();
  return hosts;
}

/** Slots that the waiting host has when a load of 300 ms ends. */
function slotsAfterLoad(expected: number): number {
  const { leader, idle, waiting, exchange } = withIdleSlots();
  waiting.setExpectedSlots(SERVER, expected, 210);
  for (let now = 210; now < 510; now += 10) {
    const due = waiting.nextReportAt(now);
    if (due !== undefined && due <= now) exchange(waiting, now);
    exchange(idle, now, leader.takeRecallRequest());
  }
  return waiting.availableSlots(SERVER, 510);
}

describe("slots for requests whose model is being loaded", () => {
  it("are there when the load ends", () => {
    expect(slotsAfterLoad(1)).to.equal(1);
  });

  it("are not there when nobody expects the load", () => {
    expect(slotsAfterLoad(0)).to.equal(0);
  });

  it("are not taken from requests that wait now", () => {
    const { idle, waiting, exchange } = twoHosts();
    idle.setWaitingSlots(SERVER, { count: 2, since: 0 });
    exchange(idle, 0);
    waiting.setExpectedSlots(SERVER, 1, 10);
    exchange(waiting, 10);
    exchange(idle, 60, true);
    exchange(waiting, 70);
    expect(idle.availableSlots(SERVER, 70)).to.equal(2);
    expect(waiting.availableSlots(SERVER, 70)).to.equal(0);
  });

  it("are asked for no longer when others go on using them", () => {
    const { idle, waiting, exchange } = twoHosts();
    idle.setWaitingSlots(SERVER, { count: 2, since: 0 });
    exchange(idle, 0);
    waiting.setExpectedSlots(SERVER, 1, 10);
    exchange(waiting, 10);
    expect(waiting.nextReportAt(20)).to.equal(60);
    expect(waiting.nextReportAt(520)).to.equal(1_010);
  });
});

describe("recall of unused slots", () => {
  it("is wanted while a host waits for slots that another leaves unused", () => {
    const { leader, waiting, exchange } = withIdleSlots();
    waiting.setWaitingSlots(SERVER, { count: 1, since: 210 });
    exchange(waiting, 210);
    expect(waiting.availableSlots(SERVER, 210)).to.equal(0);
    expect(leader.takeRecallRequest()).to.equal(true);
    expect(leader.takeRecallRequest()).to.equal(false);
  });

  it("moves a slot although the idle host is not due", () => {
    const { idle, waiting, exchange } = withIdleSlots();
    waiting.setWaitingSlots(SERVER, { count: 1, since: 210 });
    exchange(waiting, 210);
    expect(idle.report(220)).to.equal(undefined);
    exchange(idle, 220, true);
    exchange(idle, 300);
    exchange(waiting, 320);
    expect(waiting.availableSlots(SERVER, 320)).to.equal(1);
  });

  it("is not wanted when all slots are in use", () => {
    const { leader, idle, waiting, exchange } = twoHosts();
    idle.setWaitingSlots(SERVER, { count: 2, since: 0 });
    exchange(idle, 0);
    idle.acquireSlot(SERVER, 10_000, 1);
    idle.acquireSlot(SERVER, 10_000, 1);
    idle.setWaitingSlots(SERVER, undefined);
    exchange(idle, 1_100);
    leader.takeRecallRequest();
    waiting.setWaitingSlots(SERVER, { count: 1, since: 1_110 });
    exchange(waiting, 1_110);
    expect(leader.takeRecallRequest()).to.equal(false);
  });

  it("moves the only slot known to a new leader, the rest being unknown", () => {
    const { idle, waiting, exchange } = twoHosts();
    idle.setWaitingSlots(SERVER, { count: 1, since: 0 });
    exchange(idle, 0);
    idle.setWaitingSlots(SERVER, undefined);
    const taken = idle.acquireSlot(SERVER, 1_000, 1);
    if (taken.kind === "acquired") idle.releaseSlot(taken.slot, "succeeded");
    expect(idle.availableSlots(SERVER, 10)).to.equal(1);

    const next = new limits.ShareAllocator();
    next.takeLeadership({ term: 2 }, 100);
    next.setSlots(SERVER, 2, 100);
    waiting.setWaitingSlots(SERVER, { count: 1, since: 100 });
    const until = 100 + limits.SHARE_RENEWAL_MS + 200;
    for (let now = 100; now < until; now += 10) {
      for (const holder of [idle, waiting]) {
        const isRecalled = holder === idle && next.takeRecallRequest();
        const report = holder.report(now, isRecalled);
        if (report !== undefined) {
          holder.accept(next.exchange(report, now), now);
        }
      }
    }
    expect(waiting.availableSlots(SERVER, until)).to.equal(1);
  });
});
