/**
 * Requests that wait for a slot, by what they wait for.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import type * as triedServers from "./tried_servers.ts";
import type * as types from "./types.ts";

/** A server that bears a request, with a slot taken on it. */
export interface Placement {
  readonly server: protocol.control.ServerStatus;
  readonly slot: core.limits.Slot;
}

/** A request to be placed. */
export interface PlacementRequest {
  readonly work: types.Work;
  readonly tried: triedServers.PriorAttempts;
}

/** A request that waits for a slot. */
export interface Waiter extends PlacementRequest {
  /** When it began to wait for a slot. */
  readonly since: number;
  /** When its time to wait began. */
  readonly from: number;
  resolve(placement: Placement): void;
  reject(refusal: protocol.errors.Refusal): void;
}

/** First tries of one target, which may all use the same servers. */
export interface TargetQueue {
  /** The one that has waited longest comes first. */
  readonly waiters: Set<Waiter>;
  /** Counts tokens of the requests that got a slot. */
  readonly throughput: core.queue.ThroughputEstimator;
}

/** The waiting requests of one host. */
export class Waiters {
  readonly #byId = new Map<string, Waiter>();
  readonly queuesByTarget = new Map<string, TargetQueue>();
  readonly #retries = new Set<Waiter>();

  /** First tries, by target. */
  get lines(): ReadonlyMap<string, TargetQueue> {
    return this.queuesByTarget;
  }

  /** Requests that were tried before; each may use other servers. */
  get retries(): ReadonlySet<Waiter> {
    return this.#retries;
  }

  get isEmpty(): boolean {
    return this.#byId.size === 0;
  }

  /** All of them. */
  all(): Iterable<Waiter> {
    return this.#byId.values();
  }

  get(id: string): Waiter | undefined {
    return this.#byId.get(id);
  }

  add(waiter: Waiter): void {
    this.#byId.set(waiter.work.requestId, waiter);
    if (waiter.tried.ids.size > 0) {
      this.#retries.add(waiter);
      return;
    }
    const { target } = waiter.work;
    const line = this.queuesByTarget.get(target) ??
      {
        waiters: new Set(),
        throughput: new core.queue.ThroughputEstimator(waiter.since),
      };
    line.waiters.add(waiter);
    this.queuesByTarget.set(target, line);
  }

  delete(waiter: Waiter): void {
    this.#byId.delete(waiter.work.requestId);
    this.#retries.delete(waiter);
    const { target } = waiter.work;
    const line = this.queuesByTarget.get(target);
    line?.waiters.delete(waiter);
    if (line?.waiters.size === 0) this.queuesByTarget.delete(target);
  }
}

/**
 * How many requests wait for each server, by its slot pool.
 *
 * @param serversOf Servers that may run a request.
 * @param isHeld Whether a request may run nowhere for now.
 *
 * @example
 * ```ts
 * waitedSlots(waiters, () => [server], () => false)
 *   .get("engine-1/4f2a"); // { count: 3, ... }
 * ```
 */
export function waitingSlotsByPool(
  waiters: Waiters,
  serversOf: (waiter: Waiter) => readonly protocol.control.ServerStatus[],
  isHeld: (waiter: Waiter) => boolean,
): Map<string, core.limits.WaitingSlots> {
  const waited = new Map<string, core.limits.WaitingSlots>();
  const add = (waiter: Waiter, count: number) => {
    for (const server of serversOf(waiter)) {
      const pool = protocol.control.slotPool(server);
      const row = waited.get(pool);
      waited.set(pool, {
        count: (row?.count ?? 0) + count,
        since: Math.min(row?.since ?? Infinity, waiter.since),
      });
    }
  };
  for (const { waiters: line } of waiters.lines.values()) {
    const oldest = firstOf(line, isHeld);
    if (oldest !== undefined) add(oldest, line.size);
  }
  for (const waiter of waiters.retries) add(waiter, 1);
  return waited;
}

/** The first that is not held, so that the others of its line are not. */
function firstOf(
  line: ReadonlySet<Waiter>,
  isHeld: (waiter: Waiter) => boolean,
): Waiter | undefined {
  for (const waiter of line) {
    if (!isHeld(waiter)) return waiter;
  }
  return undefined;
}
