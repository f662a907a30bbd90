import { expect } from "chai";
import { limits } from "@ebonypath/core";

const SERVER = "engine-1/a";

/** Two hosts before one server that bears two requests. */
function twoHosts() {
  const leader = new limits.ShareLeader();
  leader.takeLeadership({ term: 1, isFirst: true }, 0);
  leader.setSlots(SERVER, 2, 0);
  const idle = new limits.ShareHolder("idle");
  const waiting = new limits.ShareHolder("waiting");
  const exchange = (
    holder: limits.ShareHolder,
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
  hosts.leader.takeRecall();
  return hosts;
}

describe("recall of unused slots", () => {
  it("is wanted while a host waits for slots that another leaves unused", () => {
    const { leader, waiting, exchange } = withIdleSlots();
    waiting.setWaitingSlots(SERVER, { count: 1, since: 210 });
    exchange(waiting, 210);
    expect(waiting.availableSlots(SERVER, 210)).to.equal(0);
    expect(leader.takeRecall()).to.equal(true);
    expect(leader.takeRecall()).to.equal(false);
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
    leader.takeRecall();
    waiting.setWaitingSlots(SERVER, { count: 1, since: 1_110 });
    exchange(waiting, 1_110);
    expect(leader.takeRecall()).to.equal(false);
  });
});
