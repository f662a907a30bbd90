/**
 * Checks that shares move to where the demand is, one situation per test.
 *
 * @module
 */

import { limits, ramp } from "@ebonypath/core";
import { expect } from "chai";
import { FleetSimulation, POOL, SERVER } from "./fleet_simulation.ts";

const LIMIT = { rate: 100, burst: 300 };
const SLOTS = 4;
const NO_DRIFT = [0, 0, 0];

function newFleet(): FleetSimulation {
  return new FleetSimulation(NO_DRIFT, LIMIT, SLOTS);
}

function availableTo(fleet: FleetSimulation, index: number): number {
  const { shares, clock } = fleet.hosts[index]!;
  return shares.availableTokens(POOL, clock.at(fleet.time));
}

function slotsOf(fleet: FleetSimulation, index: number): number {
  const { shares, clock } = fleet.hosts[index]!;
  return shares.availableSlots(SERVER, clock.at(fleet.time));
}

/** Lets all hosts renew their shares every `stepMs`. */
function renew(fleet: FleetSimulation, durationMs: number, stepMs = 50): void {
  for (let elapsed = 0; elapsed < durationMs; elapsed += stepMs) {
    fleet.advance(stepMs);
    fleet.hosts.forEach((_, index) => fleet.exchange(index));
  }
}

describe("shares follow demand", () => {
  it("a single exchange grants the whole burst to one request", () => {
    const fleet = newFleet();
    fleet.setWaiting(1, LIMIT.burst, 0, 1);
    fleet.exchange(1);
    expect(availableTo(fleet, 1)).to.equal(LIMIT.burst);
  });

  it("a request larger than the burst is rejected", () => {
    const fleet = newFleet();
    fleet.setWaiting(0, 1, 0);
    fleet.exchange(0);
    const { shares, clock } = fleet.hosts[0]!;
    const tokens = LIMIT.burst + 1;
    expect(shares.reserve(POOL, tokens, clock.at(0)))
      .to.deep.equal({ kind: "over-burst", burst: LIMIT.burst });
  });

  it("a large request accumulates tokens while other hosts serve small ones", () => {
    const fleet = newFleet();
    fleet.setWaiting(0, 20, 0, 1);
    fleet.exchange(0);
    fleet.reserve(0, 20);
    fleet.use(0, 1, true);
    fleet.setWaiting(1, LIMIT.burst, 0, 1);
    for (let i = 0; i < 100 && availableTo(fleet, 1) < 299.99; i++) {
      fleet.setWaiting(0, 20, 0, 0.5);
      if (fleet.reserve(0, 20)) {
        fleet.use(0, 1, true);
      }
      renew(fleet, 100);
    }
    expect(availableTo(fleet, 1)).to.be.closeTo(LIMIT.burst, 0.01);
  });

  it("unused tokens move to another host within two renewals", () => {
    const fleet = newFleet();
    fleet.setWaiting(0, LIMIT.burst, 0, 1);
    fleet.exchange(0);
    fleet.setWaiting(0, 0, 0);
    fleet.setWaiting(1, 250, 0, 1);
    renew(fleet, 2 * limits.SHARE_RENEWAL_MS);
    expect(availableTo(fleet, 1)).to.be.at.least(250);
  });

  it("two hosts with unlimited demand share the rate evenly", () => {
    const fleet = newFleet();
    const consumed = [0, 0];
    for (let i = 0; i < 400; i++) {
      for (const index of [0, 1]) {
        fleet.setWaiting(index, LIMIT.burst, 0, 0.01);
        const tokens = availableTo(fleet, index);
        if (tokens > 1 && fleet.reserve(index, tokens)) {
          fleet.use(index, 1, true);
          consumed[index]! += tokens;
        }
      }
      renew(fleet, 50);
    }
    const total = consumed[0]! + consumed[1]!;
    const bound = LIMIT.burst + LIMIT.rate * 20;
    expect(total).to.be.within(0.97 * bound, bound);
    expect(consumed[0]! / total).to.be.closeTo(0.5, 0.08);
  });

  it("reserved tokens block the refill until they are settled", () => {
    const fleet = newFleet();
    fleet.setWaiting(0, LIMIT.burst, 0, 1);
    fleet.exchange(0);
    fleet.reserve(0, LIMIT.burst);
    fleet.setWaiting(0, 10, 0, 1);
    renew(fleet, 2000);
    expect(availableTo(fleet, 0)).to.equal(0);
    fleet.use(0, 0.5, true);
    expect(availableTo(fleet, 0)).to.be.at.least(LIMIT.burst / 2);
  });

  it("a host whose process was paused cannot use an expired share", () => {
    const fleet = newFleet();
    fleet.setWaiting(0, 100, 2, 1);
    fleet.exchange(0);
    fleet.advance(limits.SHARE_LIFETIME_MS);
    expect(fleet.reserve(0, 1)).to.equal(false);
    expect(slotsOf(fleet, 0)).to.equal(0);
  });

  it("hosts keep their shares across a change of leader", () => {
    const fleet = newFleet();
    fleet.setWaiting(0, 200, 2, 1);
    fleet.exchange(0);
    fleet.failOver();
    fleet.setWaiting(1, 100, 2, 1);
    renew(fleet, limits.SHARE_LIFETIME_MS - 100);
    expect(availableTo(fleet, 0)).to.be.at.least(200);
    expect(slotsOf(fleet, 0)).to.equal(2);
    expect(availableTo(fleet, 1)).to.equal(0);
    renew(fleet, 2500);
    fleet.announce();
    renew(fleet, 100);
    expect(availableTo(fleet, 1)).to.be.above(0);
    expect(slotsOf(fleet, 1)).to.equal(2);
  });

  it("a new leader infers a server's limit from the adopted shares", () => {
    const fleet = new FleetSimulation(NO_DRIFT, LIMIT, SLOTS);
    fleet.setWaiting(0, 0, SLOTS);
    fleet.exchange(0);
    fleet.failOver(1);
    renew(fleet, 1500);
    const [seen] = fleet.leader.takeOutcomes();
    expect(seen!.inherited).to.equal(SLOTS);
    expect(slotsOf(fleet, 0)).to.equal(SLOTS);
    const subject = new ramp.AdaptiveLimit({ announced: SLOTS });
    subject.observe(seen!, 0);
    fleet.setLimits(LIMIT, subject.limit);
    renew(fleet, 3000);
    expect(slotsOf(fleet, 0)).to.equal(SLOTS);
  });

  it("a bucket that is removed and added again has no second burst", () => {
    const allocator = new limits.ShareAllocator();
    allocator.takeLeadership({ term: 1, isFirst: true }, 0);
    const shares = new limits.HostShares("entry-1/a");
    const tokensAt = (now: number) => {
      shares.setWaitingTokens(POOL, { tokens: 300, head: 300, since: 0 });
      const report = shares.report(now)!;
      shares.accept(allocator.exchange(report, now), now);
      return shares.availableTokens(POOL, now);
    };
    allocator.setBucket(POOL, LIMIT, 0, LIMIT.burst);
    expect(tokensAt(0)).to.equal(LIMIT.burst);
    allocator.removeBucket(POOL, 0);
    allocator.expire(4000);
    allocator.setBucket(POOL, { rate: 10, burst: 300 }, 4000, LIMIT.burst);
    expect(tokensAt(4000)).to.equal(40);
  });

  it("a reduced limit takes effect within one share lifetime", () => {
    const fleet = newFleet();
    fleet.setWaiting(0, LIMIT.burst, SLOTS, 1);
    fleet.exchange(0);
    fleet.setLimits({ rate: 10, burst: 30 }, 1);
    fleet.advance(limits.SHARE_LIFETIME_MS);
    renew(fleet, 500);
    expect(fleet.liveShares().capacity).to.be.at.most(30);
    expect(slotsOf(fleet, 0)).to.equal(1);
  });

  it("a host that shuts down releases its tokens and slots", () => {
    const fleet = newFleet();
    fleet.setWaiting(0, LIMIT.burst, SLOTS, 1);
    fleet.exchange(0);
    const { shares, clock } = fleet.hosts[0]!;
    shares.releaseUnused(clock.at(fleet.time));
    fleet.setWaiting(1, LIMIT.burst, SLOTS, 1);
    renew(fleet, 200);
    expect(availableTo(fleet, 1)).to.be.at.least(LIMIT.burst - 1);
    expect(slotsOf(fleet, 1)).to.equal(SLOTS);
  });

  it("a single slot rotates among waiting hosts", () => {
    const fleet = new FleetSimulation(NO_DRIFT, LIMIT, 1);
    const served = [0, 0, 0];
    fleet.hosts.forEach((_, index) => fleet.setWaiting(index, 0, 3));
    for (let i = 0; i < 300; i++) {
      fleet.hosts.forEach((host, index) => {
        fleet.acquire(index, 100);
        if (host.running.length > 0) {
          served[index]!++;
          fleet.setWaiting(index, 0, 3);
        }
      });
      renew(fleet, 50);
    }
    expect(Math.min(...served)).to.be.at.least(20);
  });
});
