import { expect } from "chai";
import { limits } from "@ebonypath/core";

const SERVER = "engine-1/a";
const POOL = "shop";
const LIMIT = { rate: 10, burst: 100 };
const NAMES = { buckets: [POOL], servers: [SERVER] };
const NOTHING = { buckets: [], servers: [] };
const START_MS = 1_000;
/** Time between two looks for unused pools, in milliseconds. */
const LOOK_MS = 500;
/** Time after which a server's report is not out of date any more, in ms. */
const SERVER_LAG_MS = 3_000;

describe("pools open to grants", () => {
  let leader: limits.ShareAllocator;
  let holder: limits.HostShares;

  beforeEach(() => {
    leader = new limits.ShareAllocator();
    const grantable = {
      buckets: new Set<string>(),
      servers: new Set<string>(),
    };
    leader.takeLeadership(
      { term: 1, grantablePools: { ...grantable, isComplete: true } },
      START_MS,
    );
    leader.setBucket(POOL, LIMIT, START_MS, LIMIT.burst);
    leader.setSlots(SERVER, 2, START_MS);
    holder = new limits.HostShares("entry-1/a");
  });

  function exchange(now: number): void {
    const report = holder.report(now, true);
    if (report !== undefined) holder.accept(leader.exchange(report, now), now);
  }

  /** Looks for unused pools for a while; returns what was closed. */
  function look(from: number, until: number): limits.PoolNames[] {
    const closed: limits.PoolNames[] = [];
    for (let now = from; now <= until; now += LOOK_MS) {
      closed.push(leader.disableIdlePools(now));
    }
    return closed.filter(({ buckets, servers }) =>
      buckets.length + servers.length > 0
    );
  }

  it("are named when a report wants shares of closed ones", () => {
    holder.setWaitingSlots(SERVER, { count: 1, since: START_MS });
    const waiting = { tokens: 10, head: 10, since: START_MS };
    holder.setWaitingTokens(POOL, waiting);
    const report = holder.report(START_MS);
    if (report === undefined) throw new Error("there is no report");
    expect(leader.poolsToEnable(report)).to.deep.equal(NAMES);
    expect(leader.exchange(report, START_MS)).to.deep.include({ term: 1 });
    expect(holder.availableSlots(SERVER, START_MS)).to.equal(0);
    leader.enablePools(NAMES, START_MS);
    expect(leader.poolsToEnable(report)).to.deep.equal(NOTHING);
  });

  it("stay open while a host holds a slot that it does not use", () => {
    leader.enablePools({ ...NOTHING, servers: [SERVER] }, START_MS);
    holder.setWaitingSlots(SERVER, { count: 1, since: START_MS });
    exchange(START_MS);
    holder.setWaitingSlots(SERVER, undefined);
    const taken = holder.acquireSlot(SERVER, 10_000, START_MS);
    if (taken.kind === "acquired") holder.releaseSlot(taken.slot, "succeeded");
    const until = START_MS + limits.SHARE_LIFETIME_MS;
    for (let now = START_MS + LOOK_MS; now < until; now += LOOK_MS) {
      exchange(now);
      expect(holder.availableSlots(SERVER, now)).to.be.above(0);
      expect(look(now, now)).to.deep.equal([]);
    }
    // The host is silent: its share ends, but a request may run for long.
    const ended = until + limits.SHARE_LIFETIME_MS + SERVER_LAG_MS;
    expect(look(until, ended)).to.deep.equal([]);
    leader.observeRunning(SERVER, 0, ended);
    expect(look(ended, ended + 2 * limits.IDLE_POOL_MS)).to.deep.equal([
      { ...NOTHING, servers: [SERVER] },
    ]);
  });

  it("stay open until the tokens are complete again", () => {
    leader.enablePools({ ...NOTHING, buckets: [POOL] }, START_MS);
    const waiting = { tokens: 50, head: 50, since: START_MS };
    holder.setWaitingTokens(POOL, waiting);
    exchange(START_MS);
    const taken = holder.reserve(POOL, 50, START_MS);
    expect(taken.kind).to.equal("reserved");
    // What the silent host held counts as consumed: 5 s refill it.
    const refilled = START_MS + 5_000;
    expect(look(START_MS, refilled)).to.deep.equal([]);
    const late = refilled + limits.SHARE_LIFETIME_MS + 2 * limits.IDLE_POOL_MS;
    expect(look(refilled, late)).to.deep.equal([
      { ...NOTHING, buckets: [POOL] },
    ]);
  });
});
