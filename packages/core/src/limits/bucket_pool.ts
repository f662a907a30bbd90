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
import * as bucketTargets from "./bucket_targets.ts";
import { PoolGrantState } from "./pool_grant_state.ts";
import {
  AllocationTable,
  type Share,
  type ShareSize,
} from "./allocation_table.ts";
import {
  type BucketLimit,
  REFILL_FRACTION,
  ROUNDING_TOKENS,
  SHARE_LIFETIME_MS,
} from "./types.ts";

/** A holder's situation according to its latest report. */
type Situation = Omit<bucketTargets.Situation, "pending"> & {
  readonly surrendered: number;
};

/** How a pool begins. */
export type BucketPoolStart = {
  /** When the last share of an earlier leader has expired. */
  readonly adoptsUntil: number;
  /** Tokens that the pool holds at first. */
  readonly level: number;
  /** Whether shares may be granted yet. */
  readonly isGrantable: boolean;
};

const NO_TARGET: bucketTargets.Target = { capacity: 0, rate: 0, level: 0 };

/** One workspace's token bucket, divided among holders. */
export class BucketPool {
  /** Lets shares be granted. */
  readonly gate: PoolGrantState;
  readonly #name: string;
  readonly #ledger: AllocationTable;
  readonly #situations = new Map<string, Situation>();
  #limit: BucketLimit;
  #level: number;
  #refilledAt: number;

  /** Creates the pool as of `now`. */
  constructor(
    name: string,
    limit: BucketLimit,
    start: BucketPoolStart,
    now: number,
  ) {
    this.#name = name;
    const adopts = now < start.adoptsUntil;
    const unknown = adopts
      ? { capacity: limit.burst, rate: limit.rate }
      : { capacity: 0, rate: 0 };
    this.#ledger = new AllocationTable(unknown, start.adoptsUntil);
    this.#limit = limit;
    this.#level = adopts ? 0 : Math.min(start.level, limit.burst);
    this.#refilledAt = now;
    this.gate = new PoolGrantState(start.isGrantable, now);
  }

  /** Whether tokens are out, lacking or wanted. */
  isActive(now: number): boolean {
    this.advance(now);
    const { capacity, rate } = this.allocated();
    const isWanted = [...this.#situations.values()]
      .some(({ demand }) => demand.tokens > 0);
    return isWanted || this.#ledger.isAdopting || capacity > 0 || rate > 0 ||
      this.#level < this.#limit.burst - ROUNDING_TOKENS;
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
  allocated(): ShareSize {
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
    const rate = Math.max(0, this.#limit.rate - this.allocated().rate);
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
    const counted = this.allocated();
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
  #target(holder: string): bucketTargets.Target {
    if (!this.gate.isOpen) return NO_TARGET;
    const situations = new Map(
      [...this.#situations].map(([name, situation]) => [name, {
        ...situation,
        pending: this.#ledger.entries.get(name)?.offered?.level ?? 0,
      }]),
    );
    return bucketTargets.targetOf(holder, situations, this.#level, this.#limit);
  }

  #clip(): void {
    const free = this.#limit.burst - this.allocated().capacity;
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
  const { reserved, usage, demand, surrendered } = report;
  if (share === undefined) {
    return { available: 0, reserved: 0, surrendered: 0, usage, demand };
  }
  const available = Math.max(0, report.balance - reserved);
  return { available, reserved, surrendered, usage, demand };
}
