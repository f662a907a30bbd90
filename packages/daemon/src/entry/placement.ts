/**
 * Waiting for a slot on a backend server that serves the request's target.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import type * as host from "../host/mod.ts";
import * as admission from "./admission.ts";
import * as serviceTimes from "./service_times.ts";
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
  /** Requests that may crash the servers that run them. */
  readonly watch: core.suspicion.SuspectWatch;
  /** Most requests that may wait at this host. */
  readonly maxQueue: number;
  /** Asks the leader for shares and loads, soon. */
  requestExchange(): void;
}

/** Weight of requests on open routes, which have no workspace. */
const OPEN_ROUTE_WEIGHT = 1;
/** Urgency of the queue for each priority of a backend server. */
const HIGHEST_PRIORITY = 2;

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
  readonly #queue: core.queue.FairQueue;
  /** The waiting requests by their id. */
  readonly #waiters = new Map<string, Waiter>();
  readonly #hints = new core.routing.PrefixHints();
  /** Servers that fail for this host. */
  readonly outliers = new core.routing.OutlierDetector();
  /** Times that are left for servers before a deadline. */
  readonly times = new serviceTimes.ServiceTimes();
  /** Servers that were told to the shares as waited for. */
  #waitedFor = new Set<string>();

  constructor(options: PlacementOptions) {
    this.#options = options;
    this.#queue = new core.queue.FairQueue({
      ...core.queue.DEFAULT_BOUNDS,
      overall: options.maxQueue,
    });
  }

  /** Works that wait for a slot. */
  *waiting(): Generator<types.Work> {
    for (const waiter of this.#waiters.values()) yield waiter.work;
  }

  /**
   * Waits for a slot as long as a server can still answer by the deadline.
   *
   * @throws {protocol.errors.Refusal} no capacity in time; nothing was run
   */
  async place(
    work: types.Work,
    excluded: ReadonlySet<string>,
    signal: AbortSignal,
  ): Promise<Placement> {
    const now = performance.now();
    const dispatchBy = this.times.dispatchBy(work.target, work.deadline, now);
    this.#enqueue(work, dispatchBy, now);
    const entered = new Promise<Placement>((resolve, reject) => {
      const waiter = { work, excluded, since: now, resolve, reject };
      this.#waiters.set(work.requestId, waiter);
    });
    const timer = setTimeout(
      () => this.#remove(work, this.#refusalOf(work)),
      dispatchBy - now,
    );
    const abort = () => this.#remove(work, admission.callerGone());
    signal.addEventListener("abort", abort);
    if (signal.aborted) abort();
    this.pump();
    if (this.#waiters.has(work.requestId)) this.#options.requestExchange();
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
    while (this.#placeNext(now));
    this.#publish();
  }

  #enqueue(work: types.Work, dispatchBy: number, now: number): void {
    const { catalogue } = this.#options.state.view;
    const workspace = work.workspace ?? "";
    const weight = catalogue.workspace(workspace)?.weight ??
      OPEN_ROUTE_WEIGHT;
    const request = {
      id: work.requestId,
      workspace,
      weight,
      tokens: work.tokens,
      urgency: HIGHEST_PRIORITY - work.priority,
      queuedAt: now,
      deadline: dispatchBy,
    };
    const result = this.#queue.add(request, 0, now);
    if (result.kind !== "queued") throw refusedEntry(work, result.kind);
  }

  /** Places the next request in fair order; false when none can be placed. */
  #placeNext(now: number): boolean {
    /** Targets for which no server has room in this round. */
    const blocked = new Set<string>();
    let placed: { waiter: Waiter; placement: Placement } | undefined;
    this.#queue.take((request) => {
      const waiter = this.#waiters.get(request.id);
      if (waiter === undefined || blocked.has(waiter.work.target)) {
        return "next-request";
      }
      const placement = this.#tryPlace(waiter, now);
      if (placement === undefined) {
        // A suspect may be held while others of its target have room.
        const isHeld = this.#clearance(waiter, now).kind !== "clear";
        if (!isHeld) blocked.add(waiter.work.target);
        return "next-request";
      }
      placed = { waiter, placement };
      return "take";
    }, now);
    if (placed === undefined) return false;
    this.#waiters.delete(placed.waiter.work.requestId);
    placed.waiter.resolve(placed.placement);
    return true;
  }

  #tryPlace(waiter: Waiter, now: number): Placement | undefined {
    const { shares, watch } = this.#options;
    const free = this.#cleared(waiter, this.#candidates(waiter), now)
      .filter((server) =>
        shares.availableSlots(protocol.control.slotPool(server), now) > 0
      );
    const server = this.#choose(waiter, free, now);
    if (server === undefined) return undefined;
    const taken = shares.acquireSlot(
      protocol.control.slotPool(server),
      waiter.work.deadline,
      now,
    );
    if (taken.kind !== "acquired") return undefined;
    const { affinity } = waiter.work;
    if (affinity !== null) this.#hints.add(affinity, server.id, now);
    if (this.#clearance(waiter, now).kind === "admitted") {
      watch.started(waiter.work.fingerprint);
    }
    return { server, slot: taken.slot };
  }

  #clearance(waiter: Waiter, now: number): core.suspicion.Clearance {
    const { watch } = this.#options;
    return watch.clearanceOf(waiter.work.fingerprint, now);
  }

  /** Suspects run where the leader admits them, apart from one another. */
  #cleared(
    waiter: Waiter,
    servers: readonly protocol.control.ServerStatus[],
    now: number,
  ): readonly protocol.control.ServerStatus[] {
    const clearance = this.#clearance(waiter, now);
    switch (clearance.kind) {
      case "clear":
        return servers;
      case "admitted":
        return servers.filter((server) => server.id === clearance.server);
      case "wait":
        this.#options.watch.want(
          waiter.work.fingerprint,
          servers.map((server) => server.id),
          waiter.work.deadline - now,
        );
        return [];
      default:
        return protocol.errors.assertNever(clearance);
    }
  }

  #choose(
    waiter: Waiter,
    free: readonly protocol.control.ServerStatus[],
    now: number,
  ): protocol.control.ServerStatus | undefined {
    const { affinity } = waiter.work;
    const candidates = free.map((server) => ({
      server: server.id,
      failureDomain: server.failureDomain,
      inFlight: this.#options.shares.runningOn(
        protocol.control.slotPool(server),
      ),
      queued: server.queued,
      limit: server.limit,
    }));
    const choice = core.routing.choose({
      candidates: this.outliers.withoutEjected(candidates, now),
      ...(affinity === null ? {} : {
        prefixKey: affinity,
        cachedAt: this.#hints.serversWith(affinity, now),
      }),
      triedDomains: domainsOf(waiter.excluded, this.#options.state),
      random: Math.random,
    });
    return free.find((server) => server.id === choice?.server);
  }

  /** Servers that may run the work now; the excluded ones only if need be. */
  #candidates(waiter: Waiter): protocol.control.ServerStatus[] {
    const { state } = this.#options;
    const able = [...state.servers.values()].filter((server) =>
      server.usable && !state.view.isWithdrawn(server.failureDomain) &&
      protocol.control.serves(server, waiter.work.target)
    );
    const others = able.filter((server) => !waiter.excluded.has(server.id));
    return others.length > 0 ? others : able;
  }

  /** Tells the shares which servers are waited for. */
  #publish(): void {
    const { shares } = this.#options;
    const waited = new Map<string, { count: number; since: number }>();
    /** Servers for first tries, which are most of what waits. */
    const byTarget = new Map<string, protocol.control.ServerStatus[]>();
    for (const waiter of this.#waiters.values()) {
      const { target } = waiter.work;
      const isFirst = waiter.excluded.size === 0;
      const known = isFirst ? byTarget.get(target) : undefined;
      const servers = known ?? this.#candidates(waiter);
      if (isFirst) byTarget.set(target, servers);
      for (const server of servers) {
        const pool = protocol.control.slotPool(server);
        const row = waited.get(pool);
        waited.set(pool, {
          count: (row?.count ?? 0) + 1,
          since: Math.min(row?.since ?? Infinity, waiter.since),
        });
      }
    }
    const hasNew = [...waited.keys()].some((pool) =>
      !this.#waitedFor.has(pool)
    );
    for (const pool of this.#waitedFor) {
      if (!waited.has(pool)) shares.setWaitingSlots(pool, undefined);
    }
    for (const [pool, row] of waited) shares.setWaitingSlots(pool, row);
    this.#waitedFor = new Set(waited.keys());
    if (hasNew) this.#options.requestExchange();
  }

  #remove(work: types.Work, refusal: protocol.errors.Refusal): void {
    const waiter = this.#waiters.get(work.requestId);
    if (waiter === undefined) return;
    this.#waiters.delete(work.requestId);
    this.#queue.remove(work.requestId);
    this.#options.watch.ended(work.fingerprint, false);
    waiter.reject(refusal);
    this.#publish();
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

function domainsOf(
  servers: ReadonlySet<string>,
  state: host.FleetState,
): Set<string> {
  const domains = [...servers]
    .map((id) => state.servers.get(id)?.failureDomain)
    .filter((domain) => domain !== undefined);
  return new Set(domains);
}

function refusedEntry(
  work: types.Work,
  kind: "full" | "workspace-full" | "too-late",
): protocol.errors.Refusal {
  return new protocol.errors.Refusal(
    protocol.errors.NO_CAPACITY,
    `the queue took no request for ${work.target}: ${kind}`,
    { step: "place", retryAfterSeconds: RETRY_AFTER_S },
  );
}
