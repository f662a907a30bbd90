/**
 * Simulated hosts, leaders and network for the property tests of leased shares.
 * Each host's clock deviates from true time by up to the permitted drift.
 *
 * @module
 */

import { limits } from "@ebonypath/core";
import type * as protocol from "@ebonypath/protocol";

export const POOL = "shop";
export const SERVER = "runner-1/a";

/** Tokens consumed at a true time. */
export type Usage = { readonly at: number; readonly tokens: number };

type OpenReservation = {
  readonly reservation: limits.Reservation;
  readonly at: number;
  readonly share: { expiresAt: number };
  left: number;
};

type RunningRequest = { readonly slot: limits.Slot; readonly endsAt: number };

/** What happens to the log's record of grantable pools. */
export type GrantLog =
  /** The leader is not given any record. */
  | "unused"
  | "kept"
  /** Injected fault: the next leader doesn't find the committed record. */
  | "lost";

/** Interval between two exchanges of an idle host, in milliseconds. */
const IDLE_STEP_MS = 1_000;

type Message =
  | { kind: "report"; host: Host; report: protocol.limits.ShareReport }
  | { kind: "grant"; host: Host; grant: protocol.limits.ShareGrant };

/** A clock that runs faster or slower than true time by a fixed fraction. */
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

  /** Returns the true time at which this clock shows `reading`. */
  timeOf(reading: number): number {
    return (reading - this.#offset) / this.#rate;
  }
}

/** One process of an entry host, from its start to its restart. */
export class Host {
  readonly shares: limits.HostShares;
  readonly clock: Clock;
  readonly open: OpenReservation[] = [];
  readonly running: RunningRequest[] = [];
  readonly sentAt = new Map<number, number>();
  /** The current bucket share and the true time of its expiry. */
  share: { expiresAt: number } = { expiresAt: 0 };

  constructor(id: string, clock: Clock) {
    this.shares = new limits.HostShares(id);
    this.clock = clock;
  }
}

/** The fleet and its actual consumption. */
export class FleetSimulation {
  time = 0;
  /** Consumption dated by reservation. */
  readonly reserved: Usage[] = [];
  /**
   * Consumption dated by settlement or, if earlier, by the expiry of the share.
   */
  readonly settled: Usage[] = [];
  readonly messages: Message[] = [];
  readonly hosts: Host[] = [];
  /**
   * Requests that the server still runs although their host has died or
   * abandoned them.
   */
  orphanedRequests: RunningRequest[] = [];
  leader = new limits.ShareAllocator();
  /** Whether the leader's proposals are committed before it answers. */
  isCommitting = true;
  #leaderClock: Clock;
  #term = 1;
  #starts = 0;
  readonly #drifts: readonly number[];
  #limit: limits.BucketLimit;
  #slotLimit: number;
  readonly #grantLog: GrantLog;
  readonly #committed = {
    buckets: new Set<string>(),
    servers: new Set<string>(),
  };
  /** Pools that the leader proposed to disable; not committed yet. */
  #uncommittedDisables: limits.PoolNames[] = [];
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
    this.#startTerm(true);
  }

  get leaderNow(): number {
    return this.#leaderClock.at(this.time);
  }

  /**
   * @param commitsDisables Whether uncommitted proposals to disable pools are
   *   committed before the change of leader.
   */
  failOver(slotLimit = this.#slotLimit, commitsDisables = false): void {
    this.#slotLimit = slotLimit;
    if (commitsDisables) this.#commitDisables();
    this.#uncommittedDisables = [];
    this.#term++;
    this.#leaderClock = this.#newClock();
    this.leader = new limits.ShareAllocator();
    this.#startTerm(false);
  }

  setLimits(limit: limits.BucketLimit, slotLimit: number): void {
    this.#limit = limit;
    this.#slotLimit = slotLimit;
    this.leader.setBucket(POOL, limit, this.leaderNow);
    this.leader.setSlots(SERVER, slotLimit, this.leaderNow);
  }

  /** Restarts a host's process; its requests may continue on the server. */
  restart(index: number): void {
    const host = this.hosts[index]!;
    for (const open of host.open) {
      const at = Math.min(this.time, open.share.expiresAt);
      this.#recordUse(open, open.left, at);
    }
    this.orphanedRequests.push(...host.running);
    this.hosts[index] = this.#newHost(index);
  }

  setWaiting(
    index: number,
    tokens: number,
    slots: number,
    headFraction = 0,
  ): void {
    const { shares, clock } = this.hosts[index]!;
    const since = clock.at(this.time);
    shares.setWaitingTokens(
      POOL,
      tokens > 0 ? { tokens, head: tokens * headFraction, since } : undefined,
    );
    shares.setWaitingSlots(
      SERVER,
      slots > 0 ? { count: slots, since } : undefined,
    );
  }

  /** Sets how many slots the host will need once a load is complete. */
  expect(index: number, slots: number): void {
    const { shares, clock } = this.hosts[index]!;
    shares.setExpectedSlots(SERVER, slots, clock.at(this.time));
  }

  /** Sends a report if one is due. */
  report(index: number): void {
    const host = this.hosts[index]!;
    const report = host.shares.report(host.clock.at(this.time));
    if (report !== undefined) {
      host.sentAt.set(report.exchange, this.time);
      this.messages.push({ kind: "report", host, report });
    }
  }

  /**
   * Lets the fleet idle: nothing runs or is in demand, and hosts only renew.
   */
  idle(durationMs: number): void {
    this.hosts.forEach((host, index) => {
      this.setWaiting(index, 0, 0);
      this.expect(index, 0);
      while (host.running.length > 0) this.release(index);
    });
    this.settleAll();
    for (let elapsed = 0; elapsed < durationMs; elapsed += IDLE_STEP_MS) {
      this.hosts.forEach((_, index) => this.exchange(index));
      this.disableIdlePools();
      this.advance(IDLE_STEP_MS);
    }
  }

  /** Lets the leader propose to disable idle pools. */
  disableIdlePools(): void {
    this.leader.expire(this.leaderNow);
    this.#uncommittedDisables.push(
      this.leader.disableIdlePools(this.leaderNow),
    );
  }

  /**
   * Sends a report, if one is due, and delivers it and its answer without
   * delay.
   */
  exchange(index: number): void {
    const before = this.messages.length;
    this.report(index);
    if (this.messages.length > before) {
      this.deliver(this.messages.length - 1, false);
      this.deliver(this.messages.length - 1, false);
    }
  }

  deliver(index: number, isDuplicated: boolean): void {
    const message = this.messages[index];
    if (message === undefined) {
      return;
    }
    if (!isDuplicated) {
      this.messages.splice(index, 1);
    }
    if (message.kind === "report") {
      this.#enablePoolsFor(message.report);
      const grant = this.leader.exchange(message.report, this.leaderNow);
      this.messages.push({ kind: "grant", host: message.host, grant });
    } else {
      this.#accept(message.host, message.grant);
    }
  }

  reserve(index: number, tokens: number): boolean {
    const host = this.hosts[index]!;
    const now = host.clock.at(this.time);
    const result = host.shares.reserve(POOL, tokens, now);
    if (result.kind !== "reserved") {
      return false;
    }
    const { reservation } = result;
    const { share } = host;
    host.open.push({ reservation, at: this.time, share, left: tokens });
    return true;
  }

  /** Consumes part of the oldest reservation and optionally settles it. */
  use(index: number, fraction: number, settles: boolean): void {
    const host = this.hosts[index]!;
    const open = host.open[0];
    if (open === undefined) {
      return;
    }
    const tokens = open.left * fraction;
    const now = host.clock.at(this.time);
    if (settles) {
      host.shares.settle(open.reservation, tokens, now);
      host.open.shift();
    } else {
      host.shares.consume(open.reservation, tokens, now);
    }
    this.#recordUse(open, tokens, Math.min(this.time, open.share.expiresAt));
  }

  /** Settles all reservations as fully used. */
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
    const result = host.shares.acquireSlot(SERVER, now + durationMs, now);
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
      host.shares.releaseSlot(request.slot, "succeeded");
    }
  }

  /** Abandons a request, which the server continues to run. */
  abandon(index: number): void {
    const host = this.hosts[index]!;
    const request = host.running.shift();
    if (request !== undefined) {
      const now = host.clock.at(this.time);
      host.shares.abandonSlot(request.slot, "failed", now);
      this.orphanedRequests.push(request);
    }
  }

  /** Delivers the server's report of its running requests, with a lag. */
  announce(): void {
    const laggedReports = this.#runningReports.filter(({ at }) =>
      at < this.time - 1500 && at >= this.time - limits.MAX_LOAD_REPORT_LAG_MS
    );
    const running = laggedReports.at(-1)?.running;
    this.#runningReports = this.#runningReports.slice(-20);
    if (running !== undefined) {
      this.leader.observeRunning(SERVER, running, this.leaderNow);
    }
  }

  advance(durationMs: number): void {
    this.#runningReports.push({ at: this.time, running: this.running() });
    this.time += durationMs;
    this.orphanedRequests = this.orphanedRequests.filter(({ endsAt }) =>
      endsAt > this.time
    );
    for (const host of this.hosts) {
      while (host.running.some(({ endsAt }) => endsAt <= this.time)) {
        const ended = host.running.findIndex((one) => one.endsAt <= this.time);
        const [request] = host.running.splice(ended, 1);
        host.shares.releaseSlot(request!.slot, "failed");
      }
    }
  }

  running(): number {
    return this.hosts.reduce(
      (total, { running }) => total + running.length,
      this.orphanedRequests.length,
    );
  }

  /** Returns the sum of the shares that hosts can use now. */
  liveShares(): { capacity: number; rate: number } {
    let capacity = 0;
    let rate = 0;
    for (const { shares, clock } of this.hosts) {
      const share = shares.tokenShare(POOL, clock.at(this.time));
      capacity += share.capacity;
      rate += share.rate;
    }
    return { capacity, rate };
  }

  #accept(host: Host, grant: protocol.limits.ShareGrant): void {
    const before = host.share.expiresAt;
    const accepted = host.shares.accept(grant, host.clock.at(this.time));
    if (!accepted.pools.includes(POOL)) {
      return;
    }
    const [bucket] = grant.buckets;
    const lifetimeMs = bucket!.lifetimeMs * limits.HOLDER_LIFETIME_FRACTION;
    const sentAt = host.sentAt.get(grant.exchange)!;
    const expiresAt = host.clock.timeOf(host.clock.at(sentAt) + lifetimeMs);
    if (bucket!.continues === undefined) {
      host.share.expiresAt = Math.min(before, this.time);
      host.share = { expiresAt };
    } else {
      host.share.expiresAt = expiresAt;
    }
  }

  #recordUse(open: OpenReservation, tokens: number, at: number): void {
    open.left -= tokens;
    this.reserved.push({ at: open.at, tokens });
    this.settled.push({ at, tokens });
  }

  /**
   * Enables the pools that a report has demand for. The log preserves the order
   * of proposals, so pending proposals to disable pools are committed first.
   */
  #enablePoolsFor(report: protocol.limits.ShareReport): void {
    const names = this.leader.poolsToEnable(report);
    if (names.buckets.length + names.servers.length === 0) return;
    if (!this.isCommitting) return;
    this.#commitDisables();
    for (const name of names.buckets) this.#committed.buckets.add(name);
    for (const name of names.servers) this.#committed.servers.add(name);
    this.leader.enablePools(names, this.leaderNow);
  }

  #commitDisables(): void {
    for (const { buckets, servers } of this.#uncommittedDisables.splice(0)) {
      for (const name of buckets) this.#committed.buckets.delete(name);
      for (const name of servers) this.#committed.servers.delete(name);
    }
  }

  #grantablePools(): { grantablePools?: limits.CommittedGrantablePools } {
    switch (this.#grantLog) {
      case "unused":
        return {};
      case "kept":
        return { grantablePools: { ...this.#committed, isComplete: true } };
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

  #startTerm(isFirst: boolean): void {
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

/**
 * Returns the largest excess of consumption over `burst + rate × time` in any
 * window.
 */
export function maxExcess(
  uses: readonly Usage[],
  limit: limits.BucketLimit,
): number {
  const byTime = [...uses].sort((a, b) => a.at - b.at);
  let level = limit.burst;
  let before = 0;
  let max = 0;
  for (const { at, tokens } of byTime) {
    const refill = limit.rate * (at - before) / 1000;
    level = Math.min(limit.burst, level + refill) - tokens;
    before = at;
    max = Math.max(max, -level);
  }
  return max;
}
