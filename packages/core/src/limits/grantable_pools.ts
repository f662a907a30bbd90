/**
 * Which pools the log lets the leader grant shares of.
 *
 * @module
 */

import type * as protocol from "@ebonypath/protocol";
import type { BucketPool } from "./bucket_pool.ts";
import type { SlotPool } from "./slot_pool.ts";

/** Time without use after which a pool is closed to grants, in milliseconds. */
export const IDLE_POOL_MS = 2_000;

/**
 * Time after which a pool that the leader does not know is closed, in
 * milliseconds. What was granted of it, or ran, has ended by then.
 */
export const UNKNOWN_POOL_MS = 600_000;

/** Names of pools: workspaces, and names with incarnations of servers. */
export type PoolNames = {
  readonly buckets: readonly string[];
  readonly servers: readonly string[];
};

/** What the log says when a leadership begins. */
export type CommittedGrantablePools = {
  readonly buckets: ReadonlySet<string>;
  readonly servers: ReadonlySet<string>;
  /** Whether earlier leaders granted shares of no other pools. */
  readonly isComplete: boolean;
};

type Pool = BucketPool | SlotPool;

/** Pools of one kind that are open to grants, as committed to the log. */
export class GrantablePools<Kind extends Pool> {
  readonly #pools: ReadonlyMap<string, Kind>;
  #open: Set<string> | undefined;
  /** Pools of which earlier leaders may have granted; nothing for all. */
  #earlier: ReadonlySet<string> | undefined;
  /** Since when open pools are unknown here. */
  readonly #unknownSince = new Map<string, number>();

  /** @param pools The pools that the leader knows; the caller changes them. */
  constructor(pools: ReadonlyMap<string, Kind>) {
    this.#pools = pools;
  }

  /** Begins with what the log says; all are open if it is not asked. */
  begin(open: ReadonlySet<string> | undefined, isComplete: boolean): void {
    this.#unknownSince.clear();
    this.#open = open && new Set(open);
    this.#earlier = isComplete ? open : undefined;
  }

  /** Whether a pool is open to grants. */
  isOpen(name: string): boolean {
    return this.#open === undefined || this.#open.has(name);
  }

  /** Whether shares of a pool that is added now may be live. */
  mayBeOut(name: string): boolean {
    return this.#earlier === undefined || this.#earlier.has(name) ||
      this.isOpen(name);
  }

  /** Those of `names` that are known and closed. */
  closed(names: readonly string[]): string[] {
    return names.filter((name) => this.#pools.get(name)?.gate.isOpen === false);
  }

  /** Opens pools, once that is committed. */
  open(names: readonly string[], now: number): void {
    for (const name of names) {
      this.#open?.add(name);
      this.#pools.get(name)?.gate.set(true, now);
    }
  }

  /** Closes pools without use and returns them, for the log to say so. */
  closeUnused(now: number): string[] {
    const names = [...this.#open ?? []].filter((name) =>
      this.#isUnused(name, now)
    );
    for (const name of names) {
      this.#open?.delete(name);
      this.#unknownSince.delete(name);
      this.#pools.get(name)?.gate.set(false, now);
    }
    return names;
  }

  #isUnused(name: string, now: number): boolean {
    const pool = this.#pools.get(name);
    if (pool !== undefined) {
      this.#unknownSince.delete(name);
      return pool.gate.unusedMs(pool.isActive(now), now) >= IDLE_POOL_MS;
    }
    const since = this.#unknownSince.get(name) ?? now;
    this.#unknownSince.set(name, since);
    return now - since >= UNKNOWN_POOL_MS;
  }
}

/** The pools of a report of which something is wanted. */
export function wantedIn(report: protocol.limits.ShareReport): PoolNames {
  return {
    buckets: report.buckets.filter(({ demand }) => demand.tokens > 0)
      .map(({ pool }) => pool),
    servers: report.slots
      .filter(({ waiting, expected }) => waiting + (expected ?? 0) > 0)
      .map(({ server }) => server),
  };
}
