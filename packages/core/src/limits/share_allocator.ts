/**
 * All pools of the fleet, as the leader divides them.
 *
 * @module
 */

import type * as protocol from "@ebonypath/protocol";
import { BucketPool } from "./bucket_pool.ts";
import * as grantable from "./grantable_pools.ts";
import { SlotPool } from "./slot_pool.ts";
import {
  type BucketLimit,
  MAX_POOLS,
  type ObservedOutcomes,
  SHARE_LIFETIME_MS,
} from "./types.ts";

/** How long a removed bucket is remembered, in case it comes back. */
const REMOVED_MEMORY_MS = 600_000;

const NO_LIMIT: BucketLimit = { rate: 0, burst: 0 };

/** How a leader begins. */
export type LeadershipStart = {
  /** Term of the leadership; greater than that of every earlier leader. */
  readonly term: number;
  /** No leader before this one has granted shares. */
  readonly isFirst?: boolean;
  /**
   * Pools of which shares may be granted, as the log says. Without it, all
   * pools are open to grants.
   */
  readonly grantablePools?: grantable.CommittedGrantablePools;
};

/**
 * Divides every limit of the fleet among entry hosts.
 *
 * Every clock value is the host's monotonic clock in milliseconds. The caller
 * checks that its leadership is valid before it takes leadership, and again
 * before it sends an answer.
 *
 * @example
 * ```ts
 * const leader = new ShareAllocator();
 * leader.takeLeadership({ term: 4 }, now);
 * leader.setBucket("shop", { rate: 200, burst: 1000 }, now);
 * const answer = leader.exchange(report, now);
 * ```
 */
export class ShareAllocator {
  readonly #buckets = new Map<string, BucketPool>();
  readonly #slots = new Map<string, SlotPool>();
  readonly #openBuckets = new grantable.GrantablePools(this.#buckets);
  readonly #openSlots = new grantable.GrantablePools(this.#slots);
  /** Buckets that were removed, and when. */
  readonly #removed = new Map<string, number>();
  #term = 0;
  #adoptsUntil = 0;
  #isRecallWanted = false;

  /**
   * Begins to lead with no pools. For one share lifetime, shares of earlier
   * leaders are adopted and nothing is granted beyond them. Their holders count
   * their lifetime from earlier and shorter, so they have ended by then. Pools
   * of which the log says that none was granted are not held back.
   */
  takeLeadership(start: LeadershipStart, now: number): void {
    this.#buckets.clear();
    this.#slots.clear();
    this.#removed.clear();
    this.#term = start.term;
    this.#adoptsUntil = start.isFirst ? now : now + SHARE_LIFETIME_MS;
    const { buckets, servers, isComplete = false } = start.grantablePools ?? {};
    this.#openBuckets.begin(buckets, isComplete);
    this.#openSlots.begin(servers, isComplete);
  }

  /**
   * Adds a pool or changes its limit.
   *
   * @param level Tokens that a new pool holds at first. One that may have had
   *   shares of an earlier leader starts empty, and one that was removed
   *   before with no more than it would have refilled since.
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
        adoptsUntil: this.#openBuckets.mayBeOut(pool) ? this.#adoptsUntil : now,
        isGrantable: this.#openBuckets.isOpen(pool),
        level: Math.min(level, this.#refilledSinceRemoval(pool, limit, now)),
      };
      this.#removed.delete(pool);
      this.#buckets.set(pool, new BucketPool(pool, limit, start, now));
    }
  }

  /** Ends a pool; shares of it end as their holders renew them or expire. */
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
   * @param running Requests that a new server says it runs.
   */
  setSlots(server: string, limit: number, now: number, running = 0): void {
    const known = this.#slots.get(server);
    if (known !== undefined) {
      known.setLimit(limit, now);
      return;
    }
    if (this.#slots.size < MAX_POOLS) {
      const start = {
        adoptsUntil: this.#openSlots.mayBeOut(server) ? this.#adoptsUntil : now,
        isGrantable: this.#openSlots.isOpen(server),
        running,
      };
      this.#slots.set(server, new SlotPool(server, limit, start, now));
    }
  }

  /** Takes in how many requests a server itself says it runs. */
  observeRunning(server: string, running: number, now: number): void {
    this.#slots.get(server)?.observeRunning(running, now);
  }

  /** Ends a backend server's pool, once the server is known to be gone. */
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
      .filter(isPresent);
    const slots = report.slots
      .map((one) => this.#exchangeSlots(report.holder, one, id, now))
      .filter(isPresent);
    this.#isRecallWanted ||= report.slots.some(({ server }) =>
      this.#slots.get(server)?.isShort(report.holder)
    );
    return { ...id, buckets, slots };
  }

  /** Pools that are closed to grants although a report wants shares of them. */
  poolsToEnable(report: protocol.limits.ShareReport): grantable.PoolNames {
    const { buckets, servers } = grantable.wantedIn(report);
    return {
      buckets: this.#openBuckets.closed(buckets),
      servers: this.#openSlots.closed(servers),
    };
  }

  /** Opens pools to grants. The log must say so first. */
  enablePools({ buckets, servers }: grantable.PoolNames, now: number): void {
    this.#openBuckets.open(buckets, now);
    this.#openSlots.open(servers, now);
  }

  /**
   * Closes pools that nobody has used for a time, and returns them. The log may
   * say so from now on: no share of them is live, and none is granted.
   */
  disableIdlePools(now: number): grantable.PoolNames {
    return {
      buckets: this.#openBuckets.closeUnused(now),
      servers: this.#openSlots.closeUnused(now),
    };
  }

  /** A pool that comes back has refilled since it was removed, no more. */
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

  /** A server that is still unknown when all have reported is gone. */
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
    return now < this.#adoptsUntil
      ? undefined
      : { server, slots: 0, lifetimeMs: SHARE_LIFETIME_MS };
  }

  /**
   * Whether an exchange since the previous call left requests waiting for
   * slots that other holders have and do not use. They give them up in their
   * next exchange, which the caller may ask for at once.
   */
  takeRecallRequest(): boolean {
    const isWanted = this.#isRecallWanted;
    this.#isRecallWanted = false;
    return isWanted;
  }

  /** Takes back expired shares and forgets pools that have ended. */
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
      if (now >= removedAt + REMOVED_MEMORY_MS) {
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

  /** Part of a pool's limit that holders have or may have. */
  allocatedTokens(pool: string): BucketLimit | undefined {
    const counted = this.#buckets.get(pool)?.allocated();
    return counted && { rate: counted.rate, burst: counted.capacity };
  }

  /** Slots of a server that are or may be in use. */
  allocatedSlots(server: string): number | undefined {
    return this.#slots.get(server)?.allocated();
  }
}

function isPresent<Value>(value: Value | undefined): value is Value {
  return value !== undefined;
}
