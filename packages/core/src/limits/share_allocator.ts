/**
 * The leader's allocation of all pools to entry hosts.
 *
 * @module
 */

import type * as protocol from "@ebonypath/protocol";
import { BucketPool } from "./bucket_pool.ts";
import * as grantable from "./grantable_pool_set.ts";
import { SlotPool } from "./slot_pool.ts";
import {
  type BucketLimit,
  MAX_POOLS,
  type ObservedOutcomes,
  SHARE_LIFETIME_MS,
} from "./types.ts";

/**
 * How long a removed bucket is remembered in case it is added again, in
 * milliseconds.
 */
const REMOVED_BUCKET_RETENTION_MS = 600_000;

const NO_LIMIT: BucketLimit = { rate: 0, burst: 0 };

/** The state in which a leadership begins. */
export type LeadershipStart = {
  /** Term of the leadership; greater than the terms of all earlier leaders. */
  readonly term: number;
  /** Whether no earlier leader has granted shares. */
  readonly isFirst?: boolean;
  /**
   * Grantable pools according to the log; if undefined, all pools are
   * grantable.
   */
  readonly grantablePools?: grantable.CommittedGrantablePools;
};

/**
 * Allocates every fleet-wide limit to entry hosts as leased shares.
 *
 * All times are readings of the host's monotonic clock, in milliseconds. The
 * caller must check that its leadership is valid before it calls
 * `takeLeadership`, and again before it sends an answer.
 *
 * @example
 * ```ts
 * const allocator = new ShareAllocator();
 * allocator.takeLeadership({ term: 4 }, now);
 * allocator.setBucket("shop", { rate: 200, burst: 1000 }, now);
 * const answer = allocator.exchange(report, now);
 * ```
 */
export class ShareAllocator {
  readonly #buckets = new Map<string, BucketPool>();
  readonly #slots = new Map<string, SlotPool>();
  readonly #grantableBuckets = new grantable.GrantablePoolSet(this.#buckets);
  readonly #grantableServers = new grantable.GrantablePoolSet(this.#slots);
  /** Removed buckets and the time of their removal. */
  readonly #removed = new Map<string, number>();
  #term = 0;
  #adoptionEndsAt = 0;
  #isRecallRequested = false;

  /**
   * Starts a term without any pools. For one share lifetime, shares granted by
   * earlier leaders are adopted and nothing beyond them is granted. Holders
   * measure a shorter lifetime from an earlier time, so those shares have
   * expired by then. Pools that were not grantable according to the log have no
   * live shares and are not held back.
   */
  takeLeadership(start: LeadershipStart, now: number): void {
    this.#buckets.clear();
    this.#slots.clear();
    this.#removed.clear();
    this.#term = start.term;
    this.#adoptionEndsAt = start.isFirst ? now : now + SHARE_LIFETIME_MS;
    const { buckets, servers, isComplete = false } = start.grantablePools ?? {};
    this.#grantableBuckets.reset(buckets, isComplete);
    this.#grantableServers.reset(servers, isComplete);
  }

  /**
   * Adds a pool or changes its limit.
   *
   * @param level Initial tokens of a new pool. A pool that may have live shares
   *   of an earlier leader starts empty. One that was removed before starts
   *   with at most what it would have refilled since.
   */
  setBucket(pool: string, limit: BucketLimit, now: number, level = 0): void {
    const known = this.#buckets.get(pool);
    if (known !== undefined) {
      known.setLimit(limit, now);
      this.#removed.delete(pool);
      return;
    }
    if (this.#buckets.size < MAX_POOLS) {
      const start = {
        adoptionEndsAt: this.#grantableBuckets.mayHaveLiveShares(pool)
          ? this.#adoptionEndsAt
          : now,
        isGrantable: this.#grantableBuckets.isGrantable(pool),
        level: Math.min(level, this.#refilledSinceRemoval(pool, limit, now)),
      };
      this.#removed.delete(pool);
      this.#buckets.set(pool, new BucketPool(pool, limit, start, now));
    }
  }

  /**
   * Removes a pool. Its shares end when their holders renew them or when they
   * expire.
   */
  removeBucket(pool: string, now: number): void {
    const known = this.#buckets.get(pool);
    if (known !== undefined) {
      known.setLimit(NO_LIMIT, now);
      this.#removed.set(pool, now);
    }
  }

  /**
   * Adds a backend server or changes its limit.
   *
   * @param server Name and incarnation of the server.
   * @param running Running requests that a new server reports.
   */
  setSlots(server: string, limit: number, now: number, running = 0): void {
    const known = this.#slots.get(server);
    if (known !== undefined) {
      known.setLimit(limit, now);
      return;
    }
    if (this.#slots.size < MAX_POOLS) {
      const start = {
        adoptionEndsAt: this.#grantableServers.mayHaveLiveShares(server)
          ? this.#adoptionEndsAt
          : now,
        isGrantable: this.#grantableServers.isGrantable(server),
        running,
      };
      this.#slots.set(server, new SlotPool(server, limit, start, now));
    }
  }

  /** Takes into account how many running requests a server reports. */
  observeRunning(server: string, running: number, now: number): void {
    this.#slots.get(server)?.observeRunning(running, now);
  }

  /** Removes a backend server's pool once the server is known to be gone. */
  removeSlots(server: string): void {
    this.#slots.delete(server);
  }

  /** Answers one holder's report. */
  exchange(
    report: protocol.limits.ShareReport,
    now: number,
  ): protocol.limits.ShareGrant {
    const id = { term: this.#term, exchange: report.exchange };
    const buckets = report.buckets
      .map((one) =>
        this.#buckets.get(one.pool)?.exchange(report.holder, one, id, now)
      )
      .filter(isDefined);
    const slots = report.slots
      .map((one) => this.#exchangeSlots(report.holder, one, id, now))
      .filter(isDefined);
    this.#isRecallRequested ||= report.slots.some(({ server }) => {
      const pool = this.#slots.get(server);
      return pool?.isShortOfSlots(report.holder) === true ||
        pool?.hasFreeSlotsForOthers(report.holder, now) === true;
    });
    return { ...id, buckets, slots };
  }

  /**
   * Returns the pools that a report has demand for but that are not grantable.
   */
  poolsToEnable(report: protocol.limits.ShareReport): grantable.PoolNames {
    const { buckets, servers } = grantable.poolsWithDemand(report);
    return {
      buckets: this.#grantableBuckets.notGrantable(buckets),
      servers: this.#grantableServers.notGrantable(servers),
    };
  }

  /** Returns those of some pools of which no shares may be granted. */
  closedOf({ buckets, servers }: grantable.PoolNames): grantable.PoolNames {
    return {
      buckets: buckets.filter((name) =>
        !this.#grantableBuckets.isGrantable(name)
      ),
      servers: servers.filter((name) =>
        !this.#grantableServers.isGrantable(name)
      ),
    };
  }

  /** Makes pools grantable. The change must be committed to the log first. */
  enablePools({ buckets, servers }: grantable.PoolNames, now: number): void {
    this.#grantableBuckets.enable(buckets, now);
    this.#grantableServers.enable(servers, now);
  }

  /**
   * Makes idle pools non-grantable and returns them. The caller may then commit
   * the change to the log: these pools have no live shares and none is granted.
   */
  disableIdlePools(now: number): grantable.PoolNames {
    return {
      buckets: this.#grantableBuckets.disableIdle(now),
      servers: this.#grantableServers.disableIdle(now),
    };
  }

  /**
   * Tokens that a pool has refilled since its removal, or the whole burst if it
   * was not removed. A pool that is added again starts with no more than that.
   */
  #refilledSinceRemoval(
    pool: string,
    limit: BucketLimit,
    now: number,
  ): number {
    const removedAt = this.#removed.get(pool);
    return removedAt === undefined
      ? limit.burst
      : limit.rate * (now - removedAt) / 1000;
  }

  /**
   * Answers the report of one server's slots. A server that is still unknown
   * after the adoption period, when all holders have reported, no longer
   * exists.
   */
  #exchangeSlots(
    holder: string,
    report: protocol.limits.SlotReport,
    id: protocol.limits.GrantId,
    now: number,
  ): protocol.limits.SlotGrant | undefined {
    const { server } = report;
    const pool = this.#slots.get(server);
    if (pool !== undefined) {
      return pool.exchange(holder, report, id, now);
    }
    return now < this.#adoptionEndsAt
      ? undefined
      : { server, slots: 0, lifetimeMs: SHARE_LIFETIME_MS };
  }

  /**
   * Returns whether an exchange since the previous call left requests waiting
   * for slots that other holders have but don't use, or that are free. Holders
   * release or get them in their next exchange, which the caller may request
   * immediately.
   */
  takeRecallRequest(): boolean {
    const isRequested = this.#isRecallRequested;
    this.#isRecallRequested = false;
    return isRequested;
  }

  /** Reclaims expired shares and removes pools that have ended. */
  expire(now: number): void {
    for (const pool of this.#buckets.values()) {
      pool.advance(now);
    }
    for (const pool of this.#slots.values()) {
      pool.advance(now);
    }
    for (const [name, removedAt] of this.#removed) {
      if (!this.#buckets.get(name)?.isInUse) {
        this.#buckets.delete(name);
      }
      if (now >= removedAt + REMOVED_BUCKET_RETENTION_MS) {
        this.#removed.delete(name);
      }
    }
  }

  /** Returns how requests ended since the previous call, for the ramp-up. */
  takeOutcomes(): ObservedOutcomes[] {
    return [...this.#slots].map(([server, pool]) => ({
      server,
      ...pool.takeOutcomes(),
    }));
  }

  /** Part of a bucket's limit that holders have or may have. */
  allocatedTokens(pool: string): BucketLimit | undefined {
    const allocated = this.#buckets.get(pool)?.allocated();
    return allocated && { rate: allocated.rate, burst: allocated.capacity };
  }

  /** Slots of a server that are or may be in use. */
  allocatedSlots(server: string): number | undefined {
    return this.#slots.get(server)?.allocated();
  }
}

function isDefined<Value>(value: Value | undefined): value is Value {
  return value !== undefined;
}
