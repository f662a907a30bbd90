import { expect } from "chai";
import { limits } from "@ebonypath/core";

const SERVER = "engine-1/a";

/** Two hosts and one server with a limit of two concurrent requests. */
function twoHosts() {
  const allocator = new limits.ShareAllocator();
  allocator.takeLeadership({ term: 1, isFirst: true }, 0);
  allocator.setSlots(SERVER, 2, 0);
  const idle = new limits.HostShares("idle");
  const waiting = new limits.HostShares("waiting");
  const exchange = (
    shares: limits.HostShares,
    now: number,
    isRecalled = false,
  ) => {
    const report = shares.report(now, isRecalled);
    if (report !== undefined) {
      shares.accept(allocator.exchange(report, now), now);
    }
  };
  return { allocator, idle, waiting, exchange };
}

/** The idle host has run two requests and keeps both slots. */
function withIdleSlots() {
  const hosts = twoHosts();
  const { idle, exchange } = hosts;
  idle.setWaitingSlots(SERVER, { count: 2, since: 0 });
  exchange(idle, 0);
  idle.setWaitingSlots(SERVER, undefined);
  const acquired = [0, 1].map(() => idle.acquireSlot(SERVER, 1_000, 1));
  for (const one of acquired) {
    if (one.kind === "acquired") idle.releaseSlot(one.slot, "succeeded");
  }
  exchange(idle, 200);
  hosts.allocator.takeRecallRequest();
  return hosts;
}

/** Returns the slots of the waiting host at the end of a load of 300 ms. */
function slotsAfterLoad(expected: number): number {
  const { allocator, idle, waiting, exchange } = withIdleSlots();
  waiting.setExpectedSlots(SERVER, expected, 210);
  for (let now = 210; now < 510; now += 10) {
    const due = waiting.nextReportAt(now);
    if (due !== undefined && due <= now) exchange(waiting, now);
    exchange(idle, now, allocator.takeRecallRequest());
  }
  return waiting.availableSlots(SERVER, 510);
}

describe("slots for requests that wait for a load", () => {
  it("are available when the load ends", () => {
    expect(slotsAfterLoad(1)).to.equal(1);
  });

  it("are not available when no host expects the load", () => {
    expect(slotsAfterLoad(0)).to.equal(0);
  });

  it("are not taken from requests that are already waiting", () => {
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

  it("are no longer requested when others keep using them", () => {
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
  it("is requested while a host waits for slots that another host does not use", () => {
    const { allocator, waiting, exchange } = withIdleSlots();
    waiting.setWaitingSlots(SERVER, { count: 1, since: 210 });
    exchange(waiting, 210);
    expect(waiting.availableSlots(SERVER, 210)).to.equal(0);
    expect(allocator.takeRecallRequest()).to.equal(true);
    expect(allocator.takeRecallRequest()).to.equal(false);
  });

  it("moves a slot although the idle host's report is not due", () => {
    const { idle, waiting, exchange } = withIdleSlots();
    waiting.setWaitingSlots(SERVER, { count: 1, since: 210 });
    exchange(waiting, 210);
    expect(idle.report(220)).to.equal(undefined);
    exchange(idle, 220, true);
    exchange(idle, 300);
    exchange(waiting, 320);
    expect(waiting.availableSlots(SERVER, 320)).to.equal(1);
  });

  it("is not requested when all slots are in use", () => {
    const { allocator, idle, waiting, exchange } = twoHosts();
    idle.setWaitingSlots(SERVER, { count: 2, since: 0 });
    exchange(idle, 0);
    idle.acquireSlot(SERVER, 10_000, 1);
    idle.acquireSlot(SERVER, 10_000, 1);
    idle.setWaitingSlots(SERVER, undefined);
    exchange(idle, 1_100);
    allocator.takeRecallRequest();
    waiting.setWaitingSlots(SERVER, { count: 1, since: 1_110 });
    exchange(waiting, 1_110);
    expect(allocator.takeRecallRequest()).to.equal(false);
  });

  it("moves the only slot that a new leader knows about", () => {
    const { idle, waiting, exchange } = twoHosts();
    idle.setWaitingSlots(SERVER, { count: 1, since: 0 });
    exchange(idle, 0);
    idle.setWaitingSlots(SERVER, undefined);
    const acquired = idle.acquireSlot(SERVER, 1_000, 1);
    if (acquired.kind === "acquired") {
      idle.releaseSlot(acquired.slot, "succeeded");
    }
    expect(idle.availableSlots(SERVER, 10)).to.equal(1);

    const nextAllocator = new limits.ShareAllocator();
    nextAllocator.takeLeadership({ term: 2 }, 100);
    nextAllocator.setSlots(SERVER, 2, 100);
    waiting.setWaitingSlots(SERVER, { count: 1, since: 100 });
    const until = 100 + limits.SHARE_RENEWAL_MS + 200;
    for (let now = 100; now < until; now += 10) {
      for (const shares of [idle, waiting]) {
        const isRecalled = shares === idle && nextAllocator.takeRecallRequest();
        const report = shares.report(now, isRecalled);
        if (report !== undefined) {
          shares.accept(nextAllocator.exchange(report, now), now);
        }
      }
    }
    expect(waiting.availableSlots(SERVER, until)).to.equal(1);
  });
});
