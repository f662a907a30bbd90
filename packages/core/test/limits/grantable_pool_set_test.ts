import { expect } from "chai";
import { limits } from "@ebonypath/core";

const SERVER = "engine-1/a";
const POOL = "shop";
const LIMIT = { rate: 10, burst: 100 };
const NAMES = { buckets: [POOL], servers: [SERVER] };
const NO_POOLS = { buckets: [], servers: [] };
const START_MS = 1_000;
/** Interval between two checks for idle pools, in milliseconds. */
const CHECK_INTERVAL_MS = 500;
/** Time after which a server's report is reliable, in milliseconds. */
const SERVER_REPORT_LAG_MS = 3_000;

describe("grantable pools", () => {
  let allocator: limits.ShareAllocator;
  let shares: limits.HostShares;

  beforeEach(() => {
    allocator = new limits.ShareAllocator();
    const committed = {
      buckets: new Set<string>(),
      servers: new Set<string>(),
    };
    allocator.takeLeadership(
      { term: 1, grantablePools: { ...committed, isComplete: true } },
      START_MS,
    );
    allocator.setBucket(POOL, LIMIT, START_MS, LIMIT.burst);
    allocator.setSlots(SERVER, 2, START_MS);
    shares = new limits.HostShares("entry-1/a");
  });

  function exchange(now: number): void {
    const report = shares.report(now, true);
    if (report !== undefined) {
      shares.accept(allocator.exchange(report, now), now);
    }
  }

  /** Checks for idle pools over a period; returns the disabled ones. */
  function disableIdle(from: number, until: number): limits.PoolNames[] {
    const disabled: limits.PoolNames[] = [];
    for (let now = from; now <= until; now += CHECK_INTERVAL_MS) {
      disabled.push(allocator.disableIdlePools(now));
    }
    return disabled.filter(({ buckets, servers }) =>
      buckets.length + servers.length > 0
    );
  }

  it("are requested when a report has demand for non-grantable pools", () => {
    shares.setWaitingSlots(SERVER, { count: 1, since: START_MS });
    const waiting = { tokens: 10, head: 10, since: START_MS };
    shares.setWaitingTokens(POOL, waiting);
    const report = shares.report(START_MS);
    if (report === undefined) throw new Error("there is no report");
    expect(allocator.poolsToEnable(report)).to.deep.equal(NAMES);
    expect(allocator.exchange(report, START_MS)).to.deep.include({ term: 1 });
    expect(shares.availableSlots(SERVER, START_MS)).to.equal(0);
    allocator.enablePools(NAMES, START_MS);
    expect(allocator.poolsToEnable(report)).to.deep.equal(NO_POOLS);
  });

  it("stay grantable while a host holds an unused slot", () => {
    allocator.enablePools({ ...NO_POOLS, servers: [SERVER] }, START_MS);
    shares.setWaitingSlots(SERVER, { count: 1, since: START_MS });
    exchange(START_MS);
    shares.setWaitingSlots(SERVER, undefined);
    const acquired = shares.acquireSlot(SERVER, 10_000, START_MS);
    if (acquired.kind === "acquired") {
      shares.releaseSlot(acquired.slot, "succeeded");
    }
    const until = START_MS + limits.SHARE_LIFETIME_MS;
    for (
      let now = START_MS + CHECK_INTERVAL_MS;
      now < until;
      now += CHECK_INTERVAL_MS
    ) {
      exchange(now);
      expect(shares.availableSlots(SERVER, now)).to.be.above(0);
      expect(disableIdle(now, now)).to.deep.equal([]);
    }
    // The host is silent: its share expires, but a request may still run.
    const expiredAt = until + limits.SHARE_LIFETIME_MS + SERVER_REPORT_LAG_MS;
    expect(disableIdle(until, expiredAt)).to.deep.equal([]);
    allocator.observeRunning(SERVER, 0, expiredAt);
    expect(disableIdle(expiredAt, expiredAt + 2 * limits.IDLE_POOL_MS)).to.deep
      .equal([
        { ...NO_POOLS, servers: [SERVER] },
      ]);
  });

  it("stay grantable until the bucket is full again", () => {
    allocator.enablePools({ ...NO_POOLS, buckets: [POOL] }, START_MS);
    const waiting = { tokens: 50, head: 50, since: START_MS };
    shares.setWaitingTokens(POOL, waiting);
    exchange(START_MS);
    const acquired = shares.reserve(POOL, 50, START_MS);
    expect(acquired.kind).to.equal("reserved");
    // The tokens of the silent host count as consumed and refill within 5 s.
    const refilledAt = START_MS + 5_000;
    expect(disableIdle(START_MS, refilledAt)).to.deep.equal([]);
    const late = refilledAt + limits.SHARE_LIFETIME_MS +
      2 * limits.IDLE_POOL_MS;
    expect(disableIdle(refilledAt, late)).to.deep.equal([
      { ...NO_POOLS, buckets: [POOL] },
    ]);
  });
});
