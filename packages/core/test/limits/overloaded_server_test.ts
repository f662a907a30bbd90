import { limits } from "@ebonypath/core";
import { expect } from "chai";

const SERVER = "engine-1/a";
const CALL_MS = 100;
/** Time for which a request waits, in milliseconds. */
const MAX_WAIT_MS = 2_000;
const DURATION_MS = 10_000;
/** Interval of the calls of a workspace that sends many, over all hosts. */
const LOUD_INTERVAL_MS = 5;
/** Interval of those of a workspace that sends few. */
const QUIET_INTERVAL_MS = 150;
/** Loud requests that wait at a host; more are refused. */
const MAX_LOUD_WAITING = 30;
const MIN_EXCHANGE_INTERVAL_MS = 20;
/** Time in which the hosts get to know of each other's demand. */
const SETTLE_MS = 1_000;

type Waiting = { readonly at: number; readonly isQuiet: boolean };
type Running = { readonly slot: limits.Slot; readonly endsAt: number };
type Exchange = {
  readonly report: Parameters<limits.ShareAllocator["exchange"]>[0];
  readonly arrivesAt: number;
  readonly endsAt: number;
  grant: ReturnType<limits.ShareAllocator["exchange"]> | undefined;
};

/** A host whose exchanges with the leader take a fixed time. */
class Host {
  readonly shares: limits.HostShares;
  readonly exchangeMs: number;
  waiting: Waiting[] = [];
  running: Running[] = [];
  exchange: Exchange | undefined;
  isRecalled = false;
  nextExchangeAt = 0;
  /** Requests of the quiet workspace that got no slot in time. */
  lost = 0;

  constructor(name: string, exchangeMs: number) {
    this.shares = new limits.HostShares(name);
    this.exchangeMs = exchangeMs;
  }

  add(isQuiet: boolean, now: number): void {
    const loud = this.waiting.filter((one) => !one.isQuiet).length;
    if (isQuiet || loud < MAX_LOUD_WAITING) {
      this.waiting.push({ at: now, isQuiet });
    }
  }

  /** Ends and starts requests; those of the quiet workspace come first. */
  serve(now: number): void {
    for (const { slot, endsAt } of this.running) {
      if (endsAt <= now) this.shares.releaseSlot(slot, "succeeded");
    }
    this.running = this.running.filter(({ endsAt }) => endsAt > now);
    const expired = this.waiting.filter(({ at }) => now - at >= MAX_WAIT_MS);
    if (now >= SETTLE_MS + MAX_WAIT_MS) {
      this.lost += expired.filter(({ isQuiet }) => isQuiet).length;
    }
    this.waiting = this.waiting.filter((one) => !expired.includes(one))
      .sort((one, other) =>
        Number(other.isQuiet) - Number(one.isQuiet) || one.at - other.at
      );
    while (this.waiting.length > 0) {
      const result = this.shares.acquireSlot(SERVER, now + MAX_WAIT_MS, now);
      if (result.kind !== "acquired") break;
      this.waiting.shift();
      this.running.push({ slot: result.slot, endsAt: now + CALL_MS });
    }
    const since = Math.min(...this.waiting.map(({ at }) => at));
    const count = this.waiting.length;
    const waiting = count === 0 ? undefined : { count, since };
    this.shares.setWaitingSlots(SERVER, waiting);
  }

  communicate(leader: limits.ShareAllocator, now: number): void {
    const { exchange } = this;
    if (exchange === undefined) return this.#startExchange(now);
    if (now >= exchange.arrivesAt) {
      exchange.grant ??= leader.exchange(exchange.report, now);
    }
    if (now < exchange.endsAt || exchange.grant === undefined) return;
    this.shares.accept(exchange.grant, now);
    this.exchange = undefined;
  }

  #startExchange(now: number): void {
    const dueAt = this.shares.nextReportAt(now) ?? Infinity;
    if ((dueAt > now && !this.isRecalled) || now < this.nextExchangeAt) return;
    const report = this.shares.report(now, this.isRecalled);
    this.isRecalled = false;
    this.nextExchangeAt = now + MIN_EXCHANGE_INTERVAL_MS;
    if (report === undefined) return;
    this.exchange = {
      report,
      arrivesAt: now + this.exchangeMs / 2,
      endsAt: now + this.exchangeMs,
      grant: undefined,
    };
  }
}

/** Returns how many quiet requests each host lost. */
function lostRequests(slots: number, exchangesMs: number[]): number[] {
  const leader = new limits.ShareAllocator();
  leader.takeLeadership({ term: 1, isFirst: true }, 0);
  leader.setSlots(SERVER, slots, 0);
  const hosts = exchangesMs.map((ms, index) => new Host(`host-${index}`, ms));
  for (let now = 0; now < DURATION_MS; now += 1) {
    for (
      const [interval, isQuiet] of [
        [LOUD_INTERVAL_MS, false],
        [QUIET_INTERVAL_MS, true],
      ] as const
    ) {
      if (now % interval > 0) continue;
      hosts[now / interval % hosts.length]?.add(isQuiet, now);
    }
    for (const host of hosts) {
      host.serve(now);
      host.communicate(leader, now);
    }
    if (leader.takeRecallRequest()) {
      for (const host of hosts) host.isRecalled = true;
    }
    leader.expire(now);
  }
  return hosts.map(({ lost }) => lost);
}

describe("the slots of an overloaded server", () => {
  const cases: [slots: number, exchangesMs: number[]][] = [
    [4, [5, 5, 5]],
    [4, [5, 5, 800]],
    [4, [5, 5, 1_200]],
    [4, [100, 400, 800]],
    [3, [5, 5, 800]],
    [2, [5, 5, 5]],
    [1, [5, 5, 5]],
  ];
  for (const [slots, exchangesMs] of cases) {
    const name = exchangesMs.join(", ");
    it(`are not kept from a host: ${slots}, exchanges of ${name} ms`, () => {
      expect(lostRequests(slots, exchangesMs))
        .to.deep.equal(exchangesMs.map(() => 0));
    });
  }
});
