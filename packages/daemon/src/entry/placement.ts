/**
 * Waiting for a slot on a backend server that serves the request's target.
 *
 * @module
 */
import type * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import type * as host from "../host/mod.ts";
import * as admission from "./admission.ts";
import type * as types from "./types.ts";

/** When a refused request may find capacity, in seconds. */
const RETRY_AFTER_S = 2;

/** A server that bears the request, with a slot taken on it. */
export interface Placement {
  readonly server: protocol.control.ServerStatus;
  readonly slot: core.limits.Slot;
}

/** The part of {@link core.limits.ShareHolder} that placement uses. */
export type SlotShares = Pick<
  core.limits.ShareHolder,
  "acquireSlot" | "availableSlots" | "runningOn" | "setWaitingSlots"
>;

/** What placement works with. */
export interface PlacementOptions {
  readonly state: host.FleetState;
  readonly shares: SlotShares;
  /** Asks the leader for shares and loads, soon. */
  requestExchange(): void;
}

interface Waiter {
  readonly work: types.Work;
  /** Servers on which earlier tries failed. */
  readonly excluded: ReadonlySet<string>;
  readonly since: number;
  resolve(placement: Placement): void;
  reject(refusal: protocol.errors.Refusal): void;
}

/** Gives waiting requests to servers as slots become free. */
export class PlacementQueue {
  readonly #options: PlacementOptions;
  readonly #lanes = new Map<string, Waiter[]>();
  /** Servers that were told to the shares as waited for. */
  #waitedFor = new Set<string>();

  constructor(options: PlacementOptions) {
    this.#options = options;
  }

  /** Works that wait for a slot. */
  *waiting(): Generator<types.Work> {
    for (const lane of this.#lanes.values()) {
      for (const waiter of lane) yield waiter.work;
    }
  }

  /**
   * Waits for a slot, until the deadline of the work at the latest.
   *
   * @throws {protocol.errors.Refusal} no capacity in time; nothing was run
   */
  async place(
    work: types.Work,
    excluded: ReadonlySet<string>,
    signal: AbortSignal,
  ): Promise<Placement> {
    const now = performance.now();
    const lane = this.#laneOf(work.target);
    const entered = new Promise<Placement>((resolve, reject) => {
      lane.push({ work, excluded, since: now, resolve, reject });
    });
    const timer = setTimeout(
      () => this.#remove(work, this.#refusalOf(work)),
      work.deadline - now,
    );
    const abort = () => this.#remove(work, admission.callerGone());
    signal.addEventListener("abort", abort);
    if (signal.aborted) abort();
    this.pump();
    try {
      return await entered;
    } finally {
      clearTimeout(timer);
      signal.removeEventListener("abort", abort);
    }
  }

  /** Places what can be placed, after shares or servers have changed. */
  pump(): void {
    const now = performance.now();
    if (!this.#options.state.isCurrent(now)) return;
    for (const [target, lane] of this.#lanes) {
      this.#placeLane(lane, now);
      if (lane.length === 0) this.#lanes.delete(target);
    }
    this.#publish();
  }

  #placeLane(lane: Waiter[], now: number): void {
    let index = 0;
    while (index < lane.length) {
      const waiter = lane[index];
      const placement = waiter && this.#tryPlace(waiter, now);
      if (waiter === undefined || placement === undefined) {
        index += 1;
        continue;
      }
      lane.splice(index, 1);
      waiter.resolve(placement);
    }
  }

  #tryPlace(waiter: Waiter, now: number): Placement | undefined {
    const { shares } = this.#options;
    const free = this.#candidates(waiter)
      .filter((server) => shares.availableSlots(slotPool(server), now) > 0)
      .sort((left, right) => this.#load(left) - this.#load(right));
    const [server] = free;
    if (server === undefined) return undefined;
    const taken = shares.acquireSlot(
      slotPool(server),
      waiter.work.deadline,
      now,
    );
    return taken.kind === "acquired" ? { server, slot: taken.slot } : undefined;
  }

  /** Servers that may run the work now; the excluded ones only if need be. */
  #candidates(waiter: Waiter): protocol.control.ServerStatus[] {
    const { state } = this.#options;
    const able = [...state.servers.values()].filter((server) =>
      server.usable && !state.view.isWithdrawn(server.failureDomain) &&
      serves(server, waiter.work)
    );
    const others = able.filter((server) => !waiter.excluded.has(server.id));
    return others.length > 0 ? others : able;
  }

  #load(server: protocol.control.ServerStatus): number {
    const running = this.#options.shares.runningOn(slotPool(server));
    return (running + server.queued) / Math.max(1, server.limit);
  }

  /** Tells the shares which servers are waited for. */
  #publish(): void {
    const { shares } = this.#options;
    const waited = new Map<string, { count: number; since: number }>();
    let isWaiting = false;
    for (const lane of this.#lanes.values()) {
      for (const waiter of lane) {
        isWaiting = true;
        for (const server of this.#candidates(waiter)) {
          const pool = slotPool(server);
          const row = waited.get(pool);
          waited.set(pool, {
            count: (row?.count ?? 0) + 1,
            since: Math.min(row?.since ?? Infinity, waiter.since),
          });
        }
      }
    }
    for (const pool of this.#waitedFor) {
      if (!waited.has(pool)) shares.setWaitingSlots(pool, undefined);
    }
    for (const [pool, row] of waited) shares.setWaitingSlots(pool, row);
    this.#waitedFor = new Set(waited.keys());
    if (isWaiting) this.#options.requestExchange();
  }

  #remove(work: types.Work, refusal: protocol.errors.Refusal): void {
    const lane = this.#lanes.get(work.target) ?? [];
    const index = lane.findIndex((waiter) => waiter.work === work);
    if (index < 0) return;
    const [waiter] = lane.splice(index, 1);
    if (lane.length === 0) this.#lanes.delete(work.target);
    waiter?.reject(refusal);
    this.#publish();
  }

  #laneOf(target: string): Waiter[] {
    const known = this.#lanes.get(target);
    if (known !== undefined) return known;
    const lane: Waiter[] = [];
    this.#lanes.set(target, lane);
    return lane;
  }

  #refusalOf(work: types.Work): protocol.errors.Refusal {
    const isCurrent = this.#options.state.isCurrent(performance.now());
    const definition = isCurrent
      ? protocol.errors.NO_CAPACITY
      : protocol.errors.NOT_CURRENT;
    const detail = isCurrent
      ? `no server had room for ${work.target} in ${work.tier.maxWaitMs} ms`
      : "the host heard no leader in the time of the tier";
    return new protocol.errors.Refusal(definition, detail, {
      step: "place",
      retryAfterSeconds: RETRY_AFTER_S,
    });
  }
}

/**
 * Name of the pool of a server's slots: each start of a server has its own.
 *
 * @example
 * ```ts
 * slotPool(server); // "engine-1/4f2a"
 * ```
 */
export function slotPool(server: {
  readonly id: string;
  readonly incarnation: string;
}): string {
  return `${server.id}/${server.incarnation}`;
}

function serves(
  server: protocol.control.ServerStatus,
  work: types.Work,
): boolean {
  return work.target === work.service
    ? server.kind === "plain" && server.services.includes(work.service)
    : server.ready.includes(work.target);
}
