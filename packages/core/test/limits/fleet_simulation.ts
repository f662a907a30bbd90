/**
 * Hosts, leaders and a network for the property tests of leased shares. Each
 * host's clock deviates from true time by up to the permitted drift.
 *
 * @module
 */

import { limits } from "@ebonypath/core";
import type * as protocol from "@ebonypath/protocol";

export const POOL = "shop";
export const SERVER = "runner-1/a";

/** Tokens that were consumed at a true time. */
export type Use = { readonly at: number; readonly tokens: number };

type OpenReservation = {
  readonly reservation: limits.Reservation;
  readonly at: number;
  readonly share: { expiresAt: number };
  left: number;
};

type RunningRequest = { readonly slot: limits.Slot; readonly endsAt: number };

/** What becomes of the log's record of pools that are open to grants. */
export type GrantLog =
  /** The leader is not asked to keep one. */
  | "unused"
  | "kept"
  /** The next leader does not find what was committed: a fault. */
  | "lost";

type Closing = limits.PoolNames;

/** Time between two exchanges of a host at rest, in milliseconds. */
const REST_STEP_MS = 1_000;

type Message =
  | { kind: "report"; host: Host; report: protocol.limits.ShareReport }
  | { kind: "grant"; host: Host; grant: protocol.limits.ShareGrant };

/** A clock that runs faster or slower than true time by a fixed part. */
export class Clock {
  readonly #rate: number;
  readonly #offset: number;

  constructor(drift: number, offset: number) {
    this.#rate = 1 + drift;
    this.#offset = offset;
  }

  at(time: number): number {
    return this.#offset + time * this.#rate;
  }

  /** True time at which this clock shows `reading`. */
  timeOf(reading: number): number {
    return (reading - this.#offset) / this.#rate;
  }
}

/** One start of an entry host. */
export class Host {
  readonly holder: limits.HostShares;
  readonly clock: Clock;
  readonly open: OpenReservation[] = [];
  readonly running: RunningRequest[] = [];
  readonly sentAt = new Map<number, number>();
  /** The bucket share in force and the true time of its end. */
  share: { expiresAt: number } = { expiresAt: 0 };

  constructor(id: string, clock: Clock) {
    this.holder = new limits.HostShares(id);
    this.clock = clock;
  }
}

/** The fleet, and what it truly consumed. */
export class FleetSimulation {
  time = 0;
  /** Consumption as of its reservation. */
  readonly reserved: Use[] = [];
  /** Consumption as of its settlement, or of the end of its share. */
  readonly settled: Use[] = [];
  readonly messages: Message[] = [];
  readonly hosts: Host[] = [];
  /** Requests of dead hosts, and given up ones, that the server still runs. */
  orphans: RunningRequest[] = [];
  leader = new limits.ShareAllocator();
  /** Whether what the leader proposes is committed before it answers. */
  isCommitting = true;
  #leaderClock: Clock;
  #term = 1;
  #starts = 0;
  readonly #drifts: readonly number[];
  #limit: limits.BucketLimit;
  #slotLimit: number;
  readonly #grantLog: GrantLog;
  readonly #logged = { buckets: new Set<string>(), servers: new Set<string>() };
  /** Proposed by the leader, not committed yet. */
  #closing: Closing[] = [];
  #runningReports: { at: number; running: number }[] = [];

  constructor(
    drifts: readonly number[],
    limit: limits.BucketLimit,
    slotLimit: number,
    grantLog: GrantLog = "unused",
  ) {
    this.#grantLog = grantLog;
    this.#drifts = drifts;
    this.#limit = limit;
    this.#slotLimit = slotLimit;
    this.#leaderClock = this.#newClock();
    for (let i = 0; i < drifts.length; i++) {
      this.hosts.push(this.#newHost(i));
    }
    this.#lead(true);
  }

  get leaderNow(): number {
    return this.#leaderClock.at(this.time);
  }

  /** @param areClosed Whether the closings under way are committed. */
  failOver(slotLimit = this.#slotLimit, areClosed = false): void {
    this.#slotLimit = slotLimit;
    if (areClosed) this.#commitClosings();
    this.#closing = [];
    this.#term++;
    this.#leaderClock = this.#newClock();
    this.leader = new limits.ShareAllocator();
    this.#lead(false);
  }

  setLimits(limit: limits.BucketLimit, slotLimit: number): void {
    this.#limit = limit;
    this.#slotLimit = slotLimit;
    this.leader.setBucket(POOL, limit, this.leaderNow);
    this.leader.setSlots(SERVER, slotLimit, this.leaderNow);
  }

  /** Replaces a host's process; its requests may go on at the server. */
  restart(index: number): void {
    const host = this.hosts[index]!;
    for (const open of host.open) {
      const at = Math.min(this.time, open.share.expiresAt);
      this.#consumed(open, open.left, at);
    }
    this.orphans.push(...host.running);
    this.hosts[index] = this.#newHost(index);
  }

  setWaiting(index: number, tokens: number, slots: number, headPart = 0): void {
    const { holder, clock } = this.hosts[index]!;
    const since = clock.at(this.time);
    holder.setWaitingTokens(
      POOL,
      tokens > 0 ? { tokens, head: tokens * headPart, since } : undefined,
    );
    holder.setWaitingSlots(
      SERVER,
      slots > 0 ? { count: slots, since } : undefined,
    );
  }

  /** Slots that the host will want once a load is complete. */
  expect(index: number, slots: number): void {
    const { holder, clock } = this.hosts[index]!;
    holder.setExpectedSlots(SERVER, slots, clock.at(this.time));
  }

  report(index: number): void {
    const host = this.hosts[index]!;
    const report = host.holder.report(host.clock.at(this.time));
    if (report !== undefined) {
      host.sentAt.set(report.exchange, this.time);
      this.messages.push({ kind: "report", host, report });
    }
  }

  /** Nothing runs or is wanted for a while; hosts renew what they have. */
  rest(milliseconds: number): void {
    this.hosts.forEach((host, index) => {
      this.setWaiting(index, 0, 0);
      this.expect(index, 0);
      while (host.running.length > 0) this.release(index);
    });
    this.settleAll();
    for (let spent = 0; spent < milliseconds; spent += REST_STEP_MS) {
      this.hosts.forEach((_, index) => this.exchange(index));
      this.closeUnused();
      this.advance(REST_STEP_MS);
    }
  }

  /** The leader proposes to close pools without use. */
  closeUnused(): void {
    this.leader.expire(this.leaderNow);
    this.#closing.push(this.leader.disableIdlePools(this.leaderNow));
  }

  /** Reports and is answered without delay. */
  exchange(index: number): void {
    const before = this.messages.length;
    this.report(index);
    if (this.messages.length > before) {
      this.deliver(this.messages.length - 1, false);
      this.deliver(this.messages.length - 1, false);
    }
  }

  deliver(index: number, keepsCopy: boolean): void {
    const message = this.messages[index];
    if (message === undefined) {
      return;
    }
    if (!keepsCopy) {
      this.messages.splice(index, 1);
    }
    if (message.kind === "report") {
      this.#openFor(message.report);
      const grant = this.leader.exchange(message.report, this.leaderNow);
      this.messages.push({ kind: "grant", host: message.host, grant });
    } else {
      this.#accept(message.host, message.grant);
    }
  }

  reserve(index: number, tokens: number): boolean {
    const host = this.hosts[index]!;
    const now = host.clock.at(this.time);
    const result = host.holder.reserve(POOL, tokens, now);
    if (result.kind !== "reserved") {
      return false;
    }
    const { reservation } = result;
    const { share } = host;
    host.open.push({ reservation, at: this.time, share, left: tokens });
    return true;
  }

  /** Consumes part of the oldest reservation and settles it if told so. */
  use(index: number, fraction: number, settles: boolean): void {
    const host = this.hosts[index]!;
    const open = host.open[0];
    if (open === undefined) {
      return;
    }
    const tokens = open.left * fraction;
    const now = host.clock.at(this.time);
    if (settles) {
      host.holder.settle(open.reservation, tokens, now);
      host.open.shift();
    } else {
      host.holder.consume(open.reservation, tokens, now);
    }
    this.#consumed(open, tokens, Math.min(this.time, open.share.expiresAt));
  }

  /** Settles all that is reserved as fully used. */
  settleAll(): void {
    this.hosts.forEach((host, index) => {
      while (host.open.length > 0) {
        this.use(index, 1, true);
      }
    });
  }

  acquire(index: number, durationMs: number): void {
    const host = this.hosts[index]!;
    const now = host.clock.at(this.time);
    const result = host.holder.acquireSlot(SERVER, now + durationMs, now);
    if (result.kind === "acquired") {
      const { slot } = result;
      const endsAt = host.clock.timeOf(slot.deadline);
      host.running.push({ slot, endsAt });
    }
  }

  release(index: number): void {
    const host = this.hosts[index]!;
    const request = host.running.shift();
    if (request !== undefined) {
      host.holder.releaseSlot(request.slot, "succeeded");
    }
  }

  /** Gives a request up; the server goes on with it all the same. */
  giveUp(index: number): void {
    const host = this.hosts[index]!;
    const request = host.running.shift();
    if (request !== undefined) {
      const now = host.clock.at(this.time);
      host.holder.abandonSlot(request.slot, "failed", now);
      this.orphans.push(request);
    }
  }

  /** The server says, with a lag, how many requests it ran. */
  announce(): void {
    const late = this.#runningReports.filter(({ at }) =>
      at < this.time - 1500 && at >= this.time - limits.MAX_LOAD_REPORT_LAG_MS
    );
    const running = late.at(-1)?.running;
    this.#runningReports = this.#runningReports.slice(-20);
    if (running !== undefined) {
      this.leader.observeRunning(SERVER, running, this.leaderNow);
    }
  }

  advance(milliseconds: number): void {
    this.#runningReports.push({ at: this.time, running: this.running() });
    this.time += milliseconds;
    this.orphans = this.orphans.filter(({ endsAt }) => endsAt > this.time);
    for (const host of this.hosts) {
      while (host.running.some(({ endsAt }) => endsAt <= this.time)) {
        const ended = host.running.findIndex((one) => one.endsAt <= this.time);
        const [request] = host.running.splice(ended, 1);
        host.holder.releaseSlot(request!.slot, "failed");
      }
    }
  }

  running(): number {
    return this.hosts.reduce(
      (total, { running }) => total + running.length,
      this.orphans.length,
    );
  }

  /** Shares that hosts would use now, summed. */
  liveShares(): { capacity: number; rate: number } {
    let capacity = 0;
    let rate = 0;
    for (const { holder, clock } of this.hosts) {
      const share = holder.tokenShare(POOL, clock.at(this.time));
      capacity += share.capacity;
      rate += share.rate;
    }
    return { capacity, rate };
  }

  #accept(host: Host, grant: protocol.limits.ShareGrant): void {
    const before = host.share.expiresAt;
    const accepted = host.holder.accept(grant, host.clock.at(this.time));
    if (!accepted.pools.includes(POOL)) {
      return;
    }
    const [bucket] = grant.buckets;
    const life = bucket!.lifetimeMs * limits.HOLDER_LIFETIME_FRACTION;
    const sentAt = host.sentAt.get(grant.exchange)!;
    const expiresAt = host.clock.timeOf(host.clock.at(sentAt) + life);
    if (bucket!.continues === undefined) {
      host.share.expiresAt = Math.min(before, this.time);
      host.share = { expiresAt };
    } else {
      host.share.expiresAt = expiresAt;
    }
  }

  #consumed(open: OpenReservation, tokens: number, at: number): void {
    open.left -= tokens;
    this.reserved.push({ at: open.at, tokens });
    this.settled.push({ at, tokens });
  }

  /** The log keeps the order of proposals. */
  #openFor(report: protocol.limits.ShareReport): void {
    const names = this.leader.poolsToEnable(report);
    if (names.buckets.length + names.servers.length === 0) return;
    if (!this.isCommitting) return;
    this.#commitClosings();
    for (const name of names.buckets) this.#logged.buckets.add(name);
    for (const name of names.servers) this.#logged.servers.add(name);
    this.leader.enablePools(names, this.leaderNow);
  }

  #commitClosings(): void {
    for (const { buckets, servers } of this.#closing.splice(0)) {
      for (const name of buckets) this.#logged.buckets.delete(name);
      for (const name of servers) this.#logged.servers.delete(name);
    }
  }

  #grantablePools(): { grantablePools?: limits.CommittedGrantablePools } {
    switch (this.#grantLog) {
      case "unused":
        return {};
      case "kept":
        return { grantablePools: { ...this.#logged, isComplete: true } };
      case "lost":
        return {
          grantablePools: {
            buckets: new Set(),
            servers: new Set(),
            isComplete: true,
          },
        };
    }
  }

  #lead(isFirst: boolean): void {
    const now = this.leaderNow;
    const start = { term: this.#term, isFirst, ...this.#grantablePools() };
    this.leader.takeLeadership(start, now);
    this.leader.setBucket(POOL, this.#limit, now, this.#limit.burst);
    this.leader.setSlots(SERVER, this.#slotLimit, now);
  }

  #newHost(index: number): Host {
    return new Host(`entry-${index}/${this.#starts}`, this.#newClock());
  }

  #newClock(): Clock {
    const drift = this.#drifts[this.#starts % this.#drifts.length]!;
    this.#starts++;
    return new Clock(drift, 1000 * this.#starts);
  }
}

/** Largest excess of consumption over `burst + rate × time`, in any window. */
export function worstExcess(
  uses: readonly Use[],
  limit: limits.BucketLimit,
): number {
  const byTime = [...uses].sort((a, b) => a.at - b.at);
  let level = limit.burst;
  let before = 0;
  let worst = 0;
  for (const { at, tokens } of byTime) {
    const refill = limit.rate * (at - before) / 1000;
    level = Math.min(limit.burst, level + refill) - tokens;
    before = at;
    worst = Math.max(worst, -level);
  }
  return worst;
}
