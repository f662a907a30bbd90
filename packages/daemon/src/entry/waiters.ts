/**
 * Index of the requests that wait for a slot.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import type * as triedServers from "./tried_servers.ts";
import type * as types from "./types.ts";

/** A server selected for a request, with the slot acquired on it. */
export interface Placement {
  readonly server: protocol.control.ServerStatus;
  readonly slot: core.limits.Slot;
}

/** A request to place, with its earlier attempts. */
export interface PlacementRequest {
  readonly work: types.Work;
  readonly tried: triedServers.PriorAttempts;
}

/** A request that waits for a slot. */
export interface Waiter extends PlacementRequest {
  /** Start of the wait for a slot, in monotonic milliseconds. */
  readonly since: number;
  /** Start of the waiting time that counts against the deadline. */
  readonly waitStart: number;
  resolve(placement: Placement): void;
  reject(refusal: protocol.errors.Refusal): void;
}

/** First attempts for one target, all of which can use the same servers. */
export interface TargetQueue {
  /** Waiting requests, longest wait first. */
  readonly waiters: Set<Waiter>;
  /** Measures the rate at which tokens of requests are placed. */
  readonly throughput: core.queue.ThroughputEstimator;
}

/** Index of the waiting requests of a host. */
export class Waiters {
  readonly #byId = new Map<string, Waiter>();
  readonly #queuesByTarget = new Map<string, TargetQueue>();
  readonly #retries = new Set<Waiter>();

  /** First attempts, by target. */
  get queuesByTarget(): ReadonlyMap<string, TargetQueue> {
    return this.#queuesByTarget;
  }

  /** Requests with earlier attempts; each may use different servers. */
  get retries(): ReadonlySet<Waiter> {
    return this.#retries;
  }

  get isEmpty(): boolean {
    return this.#byId.size === 0;
  }

  /** Iterates over all waiting requests. */
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
    const targetQueue = this.#queuesByTarget.get(target) ??
      {
        waiters: new Set(),
        throughput: new core.queue.ThroughputEstimator(waiter.since),
      };
    targetQueue.waiters.add(waiter);
    this.#queuesByTarget.set(target, targetQueue);
  }

  delete(waiter: Waiter): void {
    this.#byId.delete(waiter.work.requestId);
    this.#retries.delete(waiter);
    const { target } = waiter.work;
    const targetQueue = this.#queuesByTarget.get(target);
    targetQueue?.waiters.delete(waiter);
    if (targetQueue?.waiters.size === 0) this.#queuesByTarget.delete(target);
  }
}

/**
 * Counts the requests that wait for each server, by slot pool.
 *
 * @param serversOf Returns the servers that may run a request.
 * @param isBlocked Whether a request may currently run on no server.
 *
 * @example
 * ```ts
 * waitingSlotsByPool(waiters, () => [server], () => false)
 *   .get("engine-1/4f2a"); // { count: 3, ... }
 * ```
 */
export function waitingSlotsByPool(
  waiters: Waiters,
  serversOf: (waiter: Waiter) => readonly protocol.control.ServerStatus[],
  isBlocked: (waiter: Waiter) => boolean,
): Map<string, core.limits.WaitingSlots> {
  const slotsByPool = new Map<string, core.limits.WaitingSlots>();
  const add = (waiter: Waiter, count: number) => {
    for (const server of serversOf(waiter)) {
      const pool = protocol.control.slotPoolName(server);
      const entry = slotsByPool.get(pool);
      slotsByPool.set(pool, {
        count: (entry?.count ?? 0) + count,
        since: Math.min(entry?.since ?? Infinity, waiter.since),
      });
    }
  };
  for (const { waiters: targetQueue } of waiters.queuesByTarget.values()) {
    const oldest = firstRunnable(targetQueue, isBlocked);
    if (oldest !== undefined) add(oldest, targetQueue.size);
  }
  for (const waiter of waiters.retries) add(waiter, 1);
  return slotsByPool;
}

/** Returns the first request that may run; it stands for its whole queue. */
function firstRunnable(
  targetQueue: ReadonlySet<Waiter>,
  isBlocked: (waiter: Waiter) => boolean,
): Waiter | undefined {
  for (const waiter of targetQueue) {
    if (!isBlocked(waiter)) return waiter;
  }
  return undefined;
}
