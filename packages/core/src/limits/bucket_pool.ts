/**
 * The leader's side of one workspace's token bucket.
 *
 * The pool itself is a bucket: its rate and its capacity are the parts of the
 * workspace's rate and burst that no holder has. Tokens are transferred between
 * the pool and the holders and are never in two places, so all buckets together
 * hold at most the burst and refill at most at the rate.
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

/** State of one holder according to its latest report. */
type HolderState = Omit<bucketTargets.HolderState, "pending"> & {
  readonly surrendered: number;
};

/** The state in which a pool is created. */
export type BucketPoolStart = {
  /** Time at which the last share of an earlier leader has expired. */
  readonly adoptionEndsAt: number;
  /** Initial tokens of the pool. */
  readonly level: number;
  /** Whether shares may be granted. */
  readonly isGrantable: boolean;
};

const NO_TARGET: bucketTargets.Target = { capacity: 0, rate: 0, level: 0 };

/** One workspace's token bucket, divided among holders. */
export class BucketPool {
  /** Controls whether shares may be granted. */
  readonly grantState: PoolGrantState;
  readonly #name: string;
  readonly #allocations: AllocationTable;
  readonly #holderStates = new Map<string, HolderState>();
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
    const isAdopting = now < start.adoptionEndsAt;
    const maxInherited = isAdopting
      ? { capacity: limit.burst, rate: limit.rate }
      : { capacity: 0, rate: 0 };
    this.#allocations = new AllocationTable(maxInherited, start.adoptionEndsAt);
    this.#limit = limit;
    this.#level = isAdopting ? 0 : Math.min(start.level, limit.burst);
    this.#refilledAt = now;
    this.grantState = new PoolGrantState(start.isGrantable, now);
  }

  /** Whether any tokens are allocated, missing or in demand. */
  isActive(now: number): boolean {
    this.advance(now);
    const { capacity, rate } = this.allocated();
    const hasDemand = [...this.#holderStates.values()]
      .some(({ demand }) => demand.tokens > 0);
    return hasDemand || this.#allocations.isAdopting || capacity > 0 ||
      rate > 0 ||
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
    return this.#allocations.allocated();
  }

  /** Whether any holder may still have a share. */
  get isInUse(): boolean {
    return this.#allocations.holders.size > 0;
  }

  /**
   * Changes the limit. A reduction takes effect once the holders have
   * acknowledged smaller shares or their shares have expired.
   */
  setLimit(limit: BucketLimit, now: number): void {
    this.advance(now);
    this.#allocations.observeLimit({ capacity: limit.burst, rate: limit.rate });
    this.#limit = limit;
    this.#clampLevel();
  }

  /** Refills the pool and reclaims expired shares. */
  advance(now: number): void {
    const elapsedSeconds = Math.max(0, now - this.#refilledAt) / 1000;
    const rate = Math.max(0, this.#limit.rate - this.allocated().rate);
    this.#level += rate * REFILL_FRACTION * elapsedSeconds;
    this.#refilledAt = Math.max(now, this.#refilledAt);
    this.#clampLevel();
    this.#allocations.endAdoption(now);
    for (const holder of this.#allocations.removeExpired(now).keys()) {
      this.#holderStates.delete(holder);
    }
  }

  /**
   * Processes one holder's report and returns its share; returns undefined if
   * the report is outdated.
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
    const classification = this.#allocations.recordReport(
      holder,
      id.exchange,
      reportedShare(report),
      0,
      now,
    );
    switch (classification.kind) {
      case "ignored":
        return undefined;
      case "continued":
        this.#level += classification.undelivered +
          this.#newlySurrendered(holder, report);
        break;
      case "adopted":
      case "unleased":
        break;
    }
    this.#clampLevel();
    const share = classification.kind === "unleased"
      ? undefined
      : classification.share;
    this.#holderStates.set(holder, holderStateOf(report, share));
    return this.#grant(holder, share, id);
  }

  #newlySurrendered(
    holder: string,
    report: protocol.limits.BucketReport,
  ): number {
    const before = this.#holderStates.get(holder)?.surrendered ?? 0;
    return Math.max(0, report.surrendered - before);
  }

  #grant(
    holder: string,
    share: Share | undefined,
    id: protocol.limits.GrantId,
  ): protocol.limits.BucketGrant {
    const target = this.#target(holder);
    const held = share?.size ?? { capacity: 0, rate: 0 };
    const allocated = this.allocated();
    const free = Math.max(0, this.#limit.burst - allocated.capacity);
    const freeRate = Math.max(0, this.#limit.rate - allocated.rate);
    const capacity = Math.min(target.capacity, held.capacity + free);
    const rate = Math.min(target.rate, held.rate + freeRate);
    const growth = Math.max(0, capacity - held.capacity);
    const displaced = Math.max(0, this.#level - (free - growth));
    const { available, reserved } = this.#holderStates.get(holder)!;
    const room = Math.max(0, capacity - available - reserved);
    const level = Math.min(
      room,
      this.#level,
      Math.max(target.level, displaced),
    );
    this.#level -= level;
    this.#allocations.recordGrant(holder, {
      id,
      size: { capacity, rate },
      level,
    });
    this.#clampLevel();
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

  /**
   * Returns the share that the holder should have if the whole pool could be
   * redistributed freely.
   */
  #target(holder: string): bucketTargets.Target {
    if (!this.grantState.isGrantable) return NO_TARGET;
    const holders = new Map(
      [...this.#holderStates].map(([name, state]) => [name, {
        ...state,
        pending: this.#allocations.holders.get(name)?.pending?.level ?? 0,
      }]),
    );
    return bucketTargets.targetOf(holder, holders, this.#level, this.#limit);
  }

  #clampLevel(): void {
    const free = this.#limit.burst - this.allocated().capacity;
    this.#level = Math.max(0, Math.min(this.#level, free));
  }
}

function reportedShare(
  report: protocol.limits.BucketReport,
): Share | undefined {
  const { grant, capacity, rate } = report;
  return grant === undefined
    ? undefined
    : { id: grant, size: { capacity, rate } };
}

function holderStateOf(
  report: protocol.limits.BucketReport,
  share: Share | undefined,
): HolderState {
  const { reserved, usage, demand, surrendered } = report;
  if (share === undefined) {
    return { available: 0, reserved: 0, surrendered: 0, usage, demand };
  }
  const available = Math.max(0, report.balance - reserved);
  return { available, reserved, surrendered, usage, demand };
}
