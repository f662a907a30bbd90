/**
 * How shares move to demand, one situation a test.
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
  const { holder, clock } = fleet.hosts[index]!;
  return holder.availableTokens(POOL, clock.at(fleet.time));
}

function slotsOf(fleet: FleetSimulation, index: number): number {
  const { holder, clock } = fleet.hosts[index]!;
  return holder.availableSlots(SERVER, clock.at(fleet.time));
}

/** Lets all hosts renew for a time, every `stepMs`. */
function renew(fleet: FleetSimulation, durationMs: number, stepMs = 50): void {
  for (let elapsed = 0; elapsed < durationMs; elapsed += stepMs) {
    fleet.advance(stepMs);
    fleet.hosts.forEach((_, index) => fleet.exchange(index));
  }
}

describe("shares follow demand", () => {
  it("one exchange brings a request of the whole burst its tokens", () => {
    const fleet = newFleet();
    fleet.setWaiting(1, LIMIT.burst, 0, 1);
    fleet.exchange(1);
    expect(availableTo(fleet, 1)).to.equal(LIMIT.burst);
  });

  it("a request over the burst is refused as such", () => {
    const fleet = newFleet();
    fleet.setWaiting(0, 1, 0);
    fleet.exchange(0);
    const { holder, clock } = fleet.hosts[0]!;
    const tokens = LIMIT.burst + 1;
    expect(holder.reserve(POOL, tokens, clock.at(0)))
      .to.deep.equal({ kind: "over-burst", burst: LIMIT.burst });
  });

  it("a large request gathers tokens while small ones go on elsewhere", () => {
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

  it("tokens that one host left unused reach another within two renewals", () => {
    const fleet = newFleet();
    fleet.setWaiting(0, LIMIT.burst, 0, 1);
    fleet.exchange(0);
    fleet.setWaiting(0, 0, 0);
    fleet.setWaiting(1, 250, 0, 1);
    renew(fleet, 2 * limits.SHARE_RENEWAL_MS);
    expect(availableTo(fleet, 1)).to.be.at.least(250);
  });

  it("two hosts that want everything share the rate evenly", () => {
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

  it("what is reserved holds the refill back until it is settled", () => {
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

  it("a host whose process stood still may not use an expired share", () => {
    const fleet = newFleet();
    fleet.setWaiting(0, 100, 2, 1);
    fleet.exchange(0);
    fleet.advance(limits.SHARE_LIFETIME_MS);
    expect(fleet.reserve(0, 1)).to.equal(false);
    expect(slotsOf(fleet, 0)).to.equal(0);
  });

  it("hosts go on with their shares over a change of leader", () => {
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

  it("a new leader learns the limit of a server from its hosts", () => {
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

  it("a bucket that is removed and comes back has no second burst", () => {
    const leader = new limits.ShareAllocator();
    leader.takeLeadership({ term: 1, isFirst: true }, 0);
    const holder = new limits.HostShares("entry-1/a");
    const tokensAt = (now: number) => {
      holder.setWaitingTokens(POOL, { tokens: 300, head: 300, since: 0 });
      const report = holder.report(now)!;
      holder.accept(leader.exchange(report, now), now);
      return holder.availableTokens(POOL, now);
    };
    leader.setBucket(POOL, LIMIT, 0, LIMIT.burst);
    expect(tokensAt(0)).to.equal(LIMIT.burst);
    leader.removeBucket(POOL, 0);
    leader.expire(4000);
    leader.setBucket(POOL, { rate: 10, burst: 300 }, 4000, LIMIT.burst);
    expect(tokensAt(4000)).to.equal(40);
  });

  it("a reduced limit is in force after one lifetime at the latest", () => {
    const fleet = newFleet();
    fleet.setWaiting(0, LIMIT.burst, SLOTS, 1);
    fleet.exchange(0);
    fleet.setLimits({ rate: 10, burst: 30 }, 1);
    fleet.advance(limits.SHARE_LIFETIME_MS);
    renew(fleet, 500);
    expect(fleet.liveShares().capacity).to.be.at.most(30);
    expect(slotsOf(fleet, 0)).to.equal(1);
  });

  it("a host that shuts down hands its tokens and slots over", () => {
    const fleet = newFleet();
    fleet.setWaiting(0, LIMIT.burst, SLOTS, 1);
    fleet.exchange(0);
    const { holder, clock } = fleet.hosts[0]!;
    holder.releaseUnused(clock.at(fleet.time));
    fleet.setWaiting(1, LIMIT.burst, SLOTS, 1);
    renew(fleet, 200);
    expect(availableTo(fleet, 1)).to.be.at.least(LIMIT.burst - 1);
    expect(slotsOf(fleet, 1)).to.equal(SLOTS);
  });

  it("one slot goes round between hosts that all want it", () => {
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
