/**
 * The leader's side of one workspace's token bucket.
 *
 * The pool is itself a bucket: it refills at the part of the rate that no
 * holder has, up to the part of the burst that no holder has. Tokens move
 * between the pool and holders and are never in two places, so all buckets
 * together hold at most the burst and refill at most at the rate.
 *
 * @module
 */

import type * as protocol from "@ebonypath/protocol";
import { type Claim, divide, maxMin } from "./division.ts";
import { type Amount, Ledger, type Share } from "./ledger.ts";
import {
  type BucketLimit,
  REFILL_FRACTION,
  SHARE_LIFETIME_MS,
} from "./types.ts";

/** Seconds of recent consumption that a holder gets tokens for in advance. */
const STOCK_SECONDS = 1.5;

/** Part of the burst that holders with little to do keep as a stock. */
const IDLE_STOCK_FRACTION = 0.25;

/** Consumption below which a holder keeps no stock, in tokens per second. */
const IDLE_USAGE = 0.01;

/**
 * Part of a holder's consumption that its own refill covers. The pool tops up
 * the rest, so that no holder's refill is wasted on a full share.
 */
const RATE_COVER = 0.9;

/** A holder's situation according to its latest report. */
type Situation = {
  readonly available: number;
  readonly reserved: number;
  readonly surrendered: number;
  readonly usage: number;
  readonly demand: protocol.limits.TokenDemand;
};

/** How a pool begins. */
export type PoolStart = {
  /** When the last share of an earlier leader has expired. */
  readonly adoptsUntil: number;
  /** Tokens that the pool holds at first. */
  readonly level: number;
};

/** One workspace's token bucket, divided among holders. */
export class BucketPool {
  readonly #name: string;
  readonly #ledger: Ledger;
  readonly #situations = new Map<string, Situation>();
  #limit: BucketLimit;
  #level: number;
  #refilledAt: number;

  /** Creates the pool as of `now`. */
  constructor(name: string, limit: BucketLimit, start: PoolStart, now: number) {
    this.#name = name;
    const adopts = now < start.adoptsUntil;
    const unknown = adopts
      ? { capacity: limit.burst, rate: limit.rate }
      : { capacity: 0, rate: 0 };
    this.#ledger = new Ledger(unknown, start.adoptsUntil);
    this.#limit = limit;
    this.#level = adopts ? 0 : Math.min(start.level, limit.burst);
    this.#refilledAt = now;
  }

  /** The limit that new grants follow. */
  get limit(): BucketLimit {
    return this.#limit;
  }

  /** Tokens in the pool itself. */
  get level(): number {
    return this.#level;
  }

  /** Part of the limit that holders have or may have. */
  counted(): Amount {
    return this.#ledger.counted();
  }

  /** Whether any holder may still have a share. */
  get isInUse(): boolean {
    return this.#ledger.entries.size > 0;
  }

  /**
   * Changes the limit. A reduction is in force once the holders have
   * acknowledged smaller shares or theirs have expired.
   */
  setLimit(limit: BucketLimit, now: number): void {
    this.advance(now);
    this.#ledger.limitIs({ capacity: limit.burst, rate: limit.rate });
    this.#limit = limit;
    this.#clip();
  }

  /** Refills the pool and takes back what expired shares had. */
  advance(now: number): void {
    const elapsedSeconds = Math.max(0, now - this.#refilledAt) / 1000;
    const rate = Math.max(0, this.#limit.rate - this.counted().rate);
    this.#level += rate * REFILL_FRACTION * elapsedSeconds;
    this.#refilledAt = Math.max(now, this.#refilledAt);
    this.#clip();
    this.#ledger.closeAdoption(now);
    for (const holder of this.#ledger.expire(now).keys()) {
      this.#situations.delete(holder);
    }
  }

  /**
   * Takes in one holder's report and answers with its share, or with nothing
   * if the report is out of date.
   *
   * @param id Identifies the grant: the leader's term and the exchange.
   */
  exchange(
    holder: string,
    report: protocol.limits.BucketReport,
    id: protocol.limits.GrantId,
    now: number,
  ): protocol.limits.BucketGrant | undefined {
    this.advance(now);
    const receipt = this.#ledger.receive(
      holder,
      id.exchange,
      shareOf(report),
      0,
      now,
    );
    switch (receipt.kind) {
      case "ignored":
        return undefined;
      case "continued":
        this.#level += receipt.returned + this.#surrendered(holder, report);
        break;
      case "adopted":
      case "unleased":
        break;
    }
    this.#clip();
    const share = receipt.kind === "unleased" ? undefined : receipt.share;
    this.#situations.set(holder, situationOf(report, share));
    return this.#grant(holder, share, id);
  }

  #surrendered(holder: string, report: protocol.limits.BucketReport): number {
    const before = this.#situations.get(holder)?.surrendered ?? 0;
    return Math.max(0, report.surrendered - before);
  }

  #grant(
    holder: string,
    share: Share | undefined,
    id: protocol.limits.GrantId,
  ): protocol.limits.BucketGrant {
    const target = this.#target(holder);
    const held = share?.amount ?? { capacity: 0, rate: 0 };
    const counted = this.counted();
    const free = Math.max(0, this.#limit.burst - counted.capacity);
    const freeRate = Math.max(0, this.#limit.rate - counted.rate);
    const capacity = Math.min(target.capacity, held.capacity + free);
    const rate = Math.min(target.rate, held.rate + freeRate);
    const growth = Math.max(0, capacity - held.capacity);
    const displaced = Math.max(0, this.#level - (free - growth));
    const { available, reserved } = this.#situations.get(holder)!;
    const room = Math.max(0, capacity - available - reserved);
    const level = Math.min(
      room,
      this.#level,
      Math.max(target.level, displaced),
    );
    this.#level -= level;
    this.#ledger.offer(holder, { id, amount: { capacity, rate }, level });
    this.#clip();
    return {
      pool: this.#name,
      ...(share === undefined ? {} : { continues: share.id }),
      rate,
      capacity,
      level,
      burst: this.#limit.burst,
      lifetimeMs: SHARE_LIFETIME_MS,
    };
  }

  /** What the holder should have, were all of the pool free to be moved. */
  #target(holder: string): Amount & { level: number } {
    const holders = [...this.#situations.keys()];
    const situations = [...this.#situations.values()];
    const pending = holders.map((name) =>
      this.#ledger.entries.get(name)?.offered?.level ?? 0
    );
    const short = situations.map((situation, index) =>
      Math.max(
        0,
        situation.demand.tokens - situation.available - pending[index]!,
      )
    );
    const isScarce = sum(short) > this.#level;
    const reserved = sum(situations.map((situation) => situation.reserved));
    const capacities = divide(
      this.#limit.burst - reserved,
      situations.map((situation) => this.#claim(situation, isScarce)),
    );
    const rates = maxMin(
      this.#limit.rate,
      situations.map((situation, index) =>
        capacities[index]! > 0 ? rateWish(situation) : 0
      ),
    );
    const levels = divide(
      this.#level,
      situations.map((situation, index) =>
        shortage(
          this.#claim(situation, isScarce),
          situation.available + pending[index]!,
        )
      ),
    );
    const index = holders.indexOf(holder);
    return {
      capacity: capacities[index]! + situations[index]!.reserved,
      rate: rates[index]!,
      level: levels[index]!,
    };
  }

  #claim(situation: Situation, isScarce: boolean): Claim {
    const { demand, usage } = situation;
    const want = Math.max(demand.tokens, usage * STOCK_SECONDS);
    const hasStock = !isScarce && usage > IDLE_USAGE;
    const stock = this.#limit.burst * IDLE_STOCK_FRACTION /
      this.#situations.size;
    return {
      head: Math.min(demand.head, this.#limit.burst),
      headAgeMs: demand.headAgeMs,
      want,
      stock: hasStock ? Math.max(want, stock) : want,
    };
  }

  #clip(): void {
    const free = this.#limit.burst - this.counted().capacity;
    this.#level = Math.max(0, Math.min(this.#level, free));
  }
}

function shareOf(report: protocol.limits.BucketReport): Share | undefined {
  const { grant, capacity, rate } = report;
  return grant === undefined
    ? undefined
    : { id: grant, amount: { capacity, rate } };
}

function situationOf(
  report: protocol.limits.BucketReport,
  share: Share | undefined,
): Situation {
  const { usage, demand, surrendered } = report;
  if (share === undefined) {
    return { available: 0, reserved: 0, surrendered: 0, usage, demand };
  }
  const available = Math.max(0, report.balance - report.reserved);
  return { available, reserved: report.reserved, surrendered, usage, demand };
}

function rateWish(situation: Situation): number {
  return situation.usage * RATE_COVER + situation.demand.tokens;
}

/** The part of a claim that the tokens at hand do not cover. */
function shortage(claim: Claim, available: number): Claim {
  return {
    head: Math.max(0, claim.head - available),
    headAgeMs: claim.headAgeMs,
    want: Math.max(0, claim.want - available),
    stock: Math.max(0, claim.stock - available),
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
