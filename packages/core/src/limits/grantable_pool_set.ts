/**
 * Tracks which pools the leader may grant shares of, according to the log.
 *
 * @module
 */

import type * as protocol from "@ebonypath/protocol";
import type { BucketPool } from "./bucket_pool.ts";
import type { SlotPool } from "./slot_pool.ts";

/** Idle time after which a pool is made non-grantable, in milliseconds. */
export const IDLE_POOL_MS = 2_000;

/**
 * Time after which a pool unknown to the leader is made non-grantable, in
 * milliseconds. By then every share granted from it and every request has
 * ended.
 */
export const UNKNOWN_POOL_MS = 600_000;

/**
 * Names of pools: workspaces for buckets, names with incarnations for servers.
 */
export type PoolNames = {
  readonly buckets: readonly string[];
  readonly servers: readonly string[];
};

/** The grantable pools committed to the log when a leadership begins. */
export type CommittedGrantablePools = {
  readonly buckets: ReadonlySet<string>;
  readonly servers: ReadonlySet<string>;
  /** Whether earlier leaders granted shares of no other pools. */
  readonly isComplete: boolean;
};

type Pool = BucketPool | SlotPool;

/** The grantable pools of one kind, as committed to the log. */
export class GrantablePoolSet<Kind extends Pool> {
  readonly #pools: ReadonlyMap<string, Kind>;
  /** Undefined if all pools are grantable. */
  #grantable: Set<string> | undefined;
  /**
   * Pools that earlier leaders may have granted from; undefined if that may be
   * any pool.
   */
  #previouslyGrantable: ReadonlySet<string> | undefined;
  /** For grantable pools that the leader doesn't know, the time since when. */
  readonly #unknownSince = new Map<string, number>();

  /** @param pools The pools known to the leader; the caller updates the map. */
  constructor(pools: ReadonlyMap<string, Kind>) {
    this.#pools = pools;
  }

  /**
   * Starts from the pools committed to the log; without them, all pools are
   * grantable.
   */
  reset(grantable: ReadonlySet<string> | undefined, isComplete: boolean): void {
    this.#unknownSince.clear();
    this.#grantable = grantable && new Set(grantable);
    this.#previouslyGrantable = isComplete ? grantable : undefined;
  }

  /** Whether shares of a pool may be granted. */
  isGrantable(name: string): boolean {
    return this.#grantable === undefined || this.#grantable.has(name);
  }

  /** Whether a pool that is added now may have live shares. */
  mayHaveLiveShares(name: string): boolean {
    return this.#previouslyGrantable === undefined ||
      this.#previouslyGrantable.has(name) ||
      this.isGrantable(name);
  }

  /** Returns those of `names` that are known but not grantable. */
  notGrantable(names: readonly string[]): string[] {
    return names.filter((name) =>
      this.#pools.get(name)?.grantState.isGrantable === false
    );
  }

  /** Makes pools grantable. The change must have been committed to the log. */
  enable(names: readonly string[], now: number): void {
    for (const name of names) {
      this.#grantable?.add(name);
      this.#pools.get(name)?.grantState.setGrantable(true, now);
    }
  }

  /**
   * Makes idle pools non-grantable and returns them, so that the caller can
   * commit the change to the log.
   */
  disableIdle(now: number): string[] {
    const names = [...this.#grantable ?? []].filter((name) =>
      this.#isIdle(name, now)
    );
    for (const name of names) {
      this.#grantable?.delete(name);
      this.#unknownSince.delete(name);
      this.#pools.get(name)?.grantState.setGrantable(false, now);
    }
    return names;
  }

  #isIdle(name: string, now: number): boolean {
    const pool = this.#pools.get(name);
    if (pool !== undefined) {
      this.#unknownSince.delete(name);
      return pool.grantState.idleMs(pool.isActive(now), now) >= IDLE_POOL_MS;
    }
    const since = this.#unknownSince.get(name) ?? now;
    this.#unknownSince.set(name, since);
    return now - since >= UNKNOWN_POOL_MS;
  }
}

/** Returns the pools of a report that have demand. */
export function poolsWithDemand(
  report: protocol.limits.ShareReport,
): PoolNames {
  return {
    buckets: report.buckets.filter(({ demand }) => demand.tokens > 0)
      .map(({ pool }) => pool),
    servers: report.slots
      .filter(({ waiting, expected }) => waiting + (expected ?? 0) > 0)
      .map(({ server }) => server),
  };
}
