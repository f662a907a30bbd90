/**
 * Placement of requests on backend servers that serve their target.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import type * as host from "../host/mod.ts";
import * as admission from "./admission.ts";
import * as waitRefusals from "./wait_refusals.ts";
import * as serverSelection from "./server_selection.ts";
import * as serviceTimes from "./service_times.ts";
import * as triedServers from "./tried_servers.ts";
import type * as types from "./types.ts";
import * as waiting from "./waiters.ts";

/** The part of {@link core.limits.HostShares} that placement uses. */
export type SlotShares = Pick<
  core.limits.HostShares,
  | "acquireSlot"
  | "availableSlots"
  | "isConverged"
  | "runningOn"
  | "setWaitingSlots"
>;

/** Dependencies of {@link PlacementQueue}. */
export interface PlacementOptions {
  readonly state: Pick<host.FleetState, "view" | "servers" | "isCurrent">;
  readonly shares: SlotShares;
  /** Requests suspected of crashing the servers that run them. */
  readonly suspects: core.suspicion.HostSuspects;
  /** Most requests that may be queued at this host. */
  readonly maxQueue: number;
  /** Requests an early exchange with the leader, to obtain shares and loads. */
  requestExchange(): void;
  /** The monotonic clock, in milliseconds. */
  now?(): number;
}

/** Retry delay in a refusal of a host that stops, in seconds. */
const STOPPING_RETRY_SECONDS = 0.1;
/** Weight of requests on open routes, which have no workspace. */
const OPEN_ROUTE_WEIGHT = 1;
/** Highest request priority; it has urgency 0 in the queue. */
const HIGHEST_PRIORITY = 2;

/** Time added to a timer because it may fire early, in milliseconds. */
const TIMER_MARGIN_MS = 1;

/** Smallest charge of a request in the fair queue: calls may cost no tokens. */
const MIN_CHARGE_TOKENS = 1;

interface PlacedRequest {
  readonly waiter: waiting.Waiter;
  readonly placement: waiting.Placement;
}

/** Queues requests and places them on servers as slots become free. */
export class PlacementQueue {
  readonly #options: PlacementOptions;
  readonly #queue: core.queue.FairQueue;
  readonly #waiters = new waiting.Waiters();
  readonly #now: () => number;
  readonly #hints = new core.routing.PrefixHints();
  /** Ejects servers that fail requests of this host. */
  readonly outliers = new core.routing.OutlierDetector();
  /** Service times, from which dispatch deadlines are computed. */
  readonly serviceTimes = new serviceTimes.ServiceTimes();
  #drain: core.queue.DrainState | undefined;
  /** Slot pools for which waiting requests were published. */
  #publishedPools = new Set<string>();

  constructor(options: PlacementOptions) {
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
    this.#queue = new core.queue.FairQueue({
      ...core.queue.DEFAULT_QUEUE_LIMITS,
      maxTotal: options.maxQueue,
    });
  }

  /**
   * Begins to refuse what cannot end before this host does.
   *
   * @param endsAt monotonic time at which what still runs ends, in milliseconds
   */
  beginDrain(endsAt: number): void {
    this.#drain = { endsAt, isListening: true };
  }

  /** Iterates over the work that waits for a slot. */
  *waiting(): Generator<types.Work> {
    for (const waiter of this.#waiters.all()) yield waiter.work;
  }

  /** Iterates over the waiting work that was sent to no server yet. */
  *untried(): Generator<types.Work> {
    for (const { tried, work } of this.#waiters.all()) {
      if (tried.ids.size === 0) yield work;
    }
  }

  /**
   * Waits for a slot until a server could no longer answer by the deadline.
   * Refuses at once if the measured throughput shows that a first attempt would
   * start too late.
   *
   * @param waitStart Start of the waiting time, in monotonic milliseconds.
   * @throws {protocol.errors.Refusal} no slot in time; this call ran nothing
   */
  async place(
    work: types.Work,
    tried: triedServers.PriorAttempts,
    signal: AbortSignal,
    waitStart: number,
  ): Promise<waiting.Placement> {
    const now = this.#now();
    this.#refuseIfStopping(work, now);
    const dispatchDeadline = this.dispatchDeadline(work, waitStart);
    if (!signal.aborted && now < dispatchDeadline) {
      const placement = this.#placeImmediately({ work, tried }, now);
      if (placement !== undefined) return placement;
    }
    this.#enqueue(work, tried.ids.size === 0, dispatchDeadline, now);
    const placed = new Promise<waiting.Placement>((resolve, reject) => {
      this.#waiters.add({
        work,
        tried,
        since: now,
        waitStart,
        resolve,
        reject,
      });
    });
    const timer = setTimeout(
      () => this.#remove(work, this.#timeoutRefusal(work)),
      dispatchDeadline - now,
    );
    const avoidanceTimer = this.#schedulePlacement(tried.avoidedUntil, now);
    const onAbort = () => this.#remove(work, admission.abortRefusal(signal));
    signal.addEventListener("abort", onAbort);
    if (signal.aborted) onAbort();
    this.placeWaiting();
    if (this.#waiters.get(work.requestId) !== undefined) {
      this.#options.requestExchange();
    }
    try {
      return await placed;
    } finally {
      clearTimeout(timer);
      clearTimeout(avoidanceTimer);
      signal.removeEventListener("abort", onAbort);
    }
  }

  /**
   * Returns the time by which work must be dispatched to be answered in time.
   *
   * @param waitStart Start of its waiting time, in monotonic milliseconds.
   */
  dispatchDeadline(work: types.Work, waitStart: number): number {
    const { deadline, stream, target } = work;
    const dispatchDeadline = this.serviceTimes.dispatchDeadline(
      target,
      deadline,
      waitStart,
      stream,
    );
    return Math.min(dispatchDeadline, this.#latestStartAt(work));
  }

  /** Time until which a host that stops sends work to a server. */
  #latestStartAt({ deadline, stream, target, tier }: types.Work): number {
    // Another host takes deferred work over.
    if (this.#drain === undefined || tier.delivery === "deferred") {
      return Infinity;
    }
    const longestRunMs = this.serviceTimes.longestRunMs(target, stream);
    // By its deadline, a stream only has to begin.
    const endsBy = stream && longestRunMs !== undefined ? Infinity : deadline;
    return core.queue.latestStartAt(
      { deadline: endsBy, isStream: stream, longestRunMs },
      this.#drain,
    );
  }

  #refuseIfStopping(work: types.Work, now: number): void {
    if (now <= this.#latestStartAt(work)) return;
    throw new protocol.errors.Refusal(
      protocol.errors.NO_CAPACITY,
      "the host stops before the request could end",
      { step: "wait", retryAfterSeconds: STOPPING_RETRY_SECONDS },
    );
  }

  /**
   * Returns the time by which work must enter this queue to be answered in
   * time, that is, its dispatch deadline less the wait currently expected for a
   * slot.
   *
   * @param waitStart Start of its waiting time, in monotonic milliseconds.
   * @throws {protocol.errors.Refusal} that time has already passed
   */
  admissionDeadline(work: types.Work, waitStart: number): number {
    const now = this.#now();
    this.#refuseIfStopping(work, now);
    const dispatchDeadline = this.dispatchDeadline(work, waitStart);
    const request = this.#requestOf(work, dispatchDeadline, now);
    const admissionDeadline = dispatchDeadline -
      this.#expectedWaitMs(work, request, now);
    if (admissionDeadline >= now) return admissionDeadline;
    throw waitRefusals.queueRefusal(work, "too-late", now - admissionDeadline);
  }

  /** Time for which a first attempt would wait for a slot now, in ms. */
  expectedWaitMs(work: types.Work): number {
    const now = this.#now();
    const request = this.#requestOf(
      work,
      this.dispatchDeadline(work, now),
      now,
    );
    return this.#expectedWaitMs(work, request, now);
  }

  /** Places waiting requests, after shares or servers have changed. */
  placeWaiting(): void {
    const now = this.#now();
    if (this.#waiters.isEmpty && this.#publishedPools.size === 0) return;
    if (!this.#options.state.isCurrent(now)) return;
    const blocked = new Set<string>();
    while (this.#placeNext(blocked, now));
    this.#publish();
  }

  /** Schedules a placement for the time at which tried servers are allowed. */
  #schedulePlacement(time: number, now: number): NodeJS.Timeout | undefined {
    if (time <= now) return undefined;
    return setTimeout(
      () => this.placeWaiting(),
      Math.ceil(time - now) + TIMER_MARGIN_MS,
    );
  }

  /** Places a request without queueing it if no other request is waiting. */
  #placeImmediately(
    waiter: waiting.PlacementRequest,
    now: number,
  ): waiting.Placement | undefined {
    const canPlace = this.#waiters.isEmpty &&
      this.#options.state.isCurrent(now);
    return canPlace ? this.#tryPlace(waiter, now) : undefined;
  }

  #enqueue(
    work: types.Work,
    isFirst: boolean,
    dispatchDeadline: number,
    now: number,
  ): void {
    const request = this.#requestOf(work, dispatchDeadline, now);
    const waitMs = isFirst ? this.#expectedWaitMs(work, request, now) : 0;
    const result = this.#queue.add(request, waitMs, now);
    if (result.kind === "queued") return;
    const lateMs = now + waitMs - dispatchDeadline;
    throw waitRefusals.queueRefusal(work, result.kind, lateMs);
  }

  #requestOf(
    work: types.Work,
    dispatchDeadline: number,
    now: number,
  ): core.queue.WaitingRequest {
    const { catalogue } = this.#options.state.view;
    const workspace = work.workspace ?? "";
    return {
      id: work.requestId,
      workspace,
      weight: catalogue.workspace(workspace)?.weight ?? OPEN_ROUTE_WEIGHT,
      tokens: chargeOf(work),
      urgency: HIGHEST_PRIORITY - work.priority,
      queuedAt: now,
      deadline: dispatchDeadline,
    };
  }

  /**
   * Estimates how long a first attempt would wait, from the tokens ahead of it
   * in fair order and the throughput of its target at this host. Returns 0
   * while the shares are unsettled or the throughput is not known.
   */
  #expectedWaitMs(
    work: types.Work,
    request: core.queue.WaitingRequest,
    now: number,
  ): number {
    if (!this.#options.shares.isConverged(now)) return 0;
    const { target } = work;
    const targetQueue = this.#waiters.queuesByTarget.get(target);
    const throughput = targetQueue?.throughput.perMs(now);
    if (throughput === undefined) return 0;
    const tokensAhead = this.#queue.tokensBefore(
      request,
      now,
      ({ id }) => this.#waiters.get(id)?.work.target === target,
    );
    return tokensAhead /
      Math.max(throughput, this.#slotRate(work, request.tokens, now));
  }

  /** Returns the tokens per millisecond that the slots of this host allow. */
  #slotRate(work: types.Work, tokens: number, now: number): number {
    const { shares } = this.#options;
    const slotTimeMs = this.serviceTimes.slotTimeMs(work.target);
    if (slotTimeMs === undefined) return 0;
    let slots = 0;
    for (
      const server of this.#candidates({
        work,
        tried: triedServers.NO_PRIOR_ATTEMPTS,
      })
    ) {
      const pool = protocol.control.slotPoolName(server);
      slots += shares.runningOn(pool) + shares.availableSlots(pool, now);
    }
    return slots * tokens / Math.max(1, slotTimeMs);
  }

  /**
   * Places the next request in fair order; returns false if none can be placed.
   *
   * @param blocked Targets for which no server has a free slot in this round.
   */
  #placeNext(blocked: Set<string>, now: number): boolean {
    const { queuesByTarget, retries } = this.#waiters;
    const expired: waiting.Waiter[] = [];
    let placed: PlacedRequest | undefined;
    this.#queue.take((request) => {
      if (blocked.size >= queuesByTarget.size && retries.size === 0) {
        return "stop";
      }
      const waiter = this.#waiters.get(request.id);
      if (waiter === undefined) return "next-request";
      const isFirst = waiter.tried.ids.size === 0;
      const { target } = waiter.work;
      if (isFirst && blocked.has(target)) return "next-request";
      // Servers may have become slower since the request began to wait.
      if (now >= this.dispatchDeadline(waiter.work, waiter.waitStart)) {
        expired.push(waiter);
        return "next-request";
      }
      const placement = this.#tryPlace(waiter, now);
      if (placement === undefined) {
        // A suspect may have to wait for its admission while other requests for
        // its target can be placed.
        const awaitsAdmission =
          this.#permissionFor(waiter, now).kind !== "clear";
        if (isFirst && !awaitsAdmission) blocked.add(target);
        return "next-request";
      }
      placed = { waiter, placement };
      return "take";
    }, now);
    for (const { work } of expired) {
      this.#remove(work, this.#timeoutRefusal(work));
    }
    if (placed === undefined) return false;
    this.#release(placed, now);
    return true;
  }

  #release({ waiter, placement }: PlacedRequest, now: number): void {
    const { work } = waiter;
    this.#waiters.queuesByTarget.get(work.target)?.throughput.recordServed(
      chargeOf(work),
      now,
    );
    this.#waiters.delete(waiter);
    waiter.resolve(placement);
  }

  #tryPlace(
    waiter: waiting.PlacementRequest,
    now: number,
  ): waiting.Placement | undefined {
    const { shares, suspects } = this.#options;
    const available = this.#permittedServers(
      waiter,
      this.#candidates(waiter),
      now,
    )
      .filter((server) =>
        shares.availableSlots(protocol.control.slotPoolName(server), now) > 0
      );
    const server = serverSelection.selectServer(waiter, available, {
      ...this.#options,
      hints: this.#hints,
      outliers: this.outliers,
    }, now);
    if (server === undefined) return undefined;
    const taken = shares.acquireSlot(
      protocol.control.slotPoolName(server),
      waiter.work.deadline,
      now,
    );
    if (taken.kind !== "acquired") return undefined;
    const { affinity } = waiter.work;
    if (affinity !== null) this.#hints.add(affinity, server.id, now);
    if (this.#permissionFor(waiter, now).kind === "admitted") {
      suspects.recordStart(waiter.work.fingerprint);
    }
    return { server, slot: taken.slot };
  }

  #permissionFor(
    waiter: waiting.PlacementRequest,
    now: number,
  ): core.suspicion.DispatchPermission {
    const { suspects } = this.#options;
    return suspects.permissionFor(waiter.work.fingerprint, now);
  }

  /**
   * Returns the servers that suspicion permits. A suspect runs only on the
   * server for which the leader admits it; without an admission, one is
   * requested.
   */
  #permittedServers(
    waiter: waiting.PlacementRequest,
    servers: readonly protocol.control.ServerStatus[],
    now: number,
  ): readonly protocol.control.ServerStatus[] {
    const { suspects } = this.#options;
    const { deadline, fingerprint } = waiter.work;
    const permission = this.#permissionFor(waiter, now);
    const allowed = serversPermittedBy(permission, servers);
    // The server may have been lost after the leader chose it; the leader knew
    // of no other server for this request.
    const hasLostServer = permission.kind === "admitted" &&
      allowed.length === 0;
    if (hasLostServer) suspects.returnAdmission(fingerprint);
    if (hasLostServer || permission.kind === "wait") {
      suspects.requestAdmission(
        fingerprint,
        servers.map(({ id }) => id),
        deadline - now,
      );
    }
    return allowed;
  }

  /**
   * Returns the servers whose slots the work can use. A suspect requests no
   * slot before it is admitted: otherwise the slots of a small server would go
   * to hosts whose suspects may not run, and the admitted one would get none.
   */
  #usableServers(
    waiter: waiting.Waiter,
  ): readonly protocol.control.ServerStatus[] {
    const permission = this.#permissionFor(waiter, this.#now());
    return serversPermittedBy(permission, this.#candidates(waiter));
  }

  /**
   * Returns the servers that can run the work. Servers that were already tried
   * are left out while others exist or the avoidance period lasts.
   */
  #candidates(
    waiter: waiting.PlacementRequest,
  ): protocol.control.ServerStatus[] {
    const { state } = this.#options;
    const usable = [...state.servers.values()].filter((server) =>
      server.usable &&
      !state.view.isFailureDomainWithdrawn(server.failureDomain) &&
      protocol.control.serves(server, waiter.work.target)
    );
    const { avoidedUntil, ids } = waiter.tried;
    const others = usable.filter((server) => !ids.has(server.id));
    if (others.length > 0 || this.#now() < avoidedUntil) return others;
    return usable;
  }

  /** Publishes the number of waiting requests for each slot pool. */
  #publish(): void {
    const { shares } = this.#options;
    const now = this.#now();
    const waitingSlots = waiting.waitingSlotsByPool(
      this.#waiters,
      (waiter) => this.#usableServers(waiter),
      (waiter) => this.#permissionFor(waiter, now).kind === "wait",
    );
    const hasNew = [...waitingSlots.keys()].some((pool) =>
      !this.#publishedPools.has(pool)
    );
    for (const pool of this.#publishedPools) {
      if (!waitingSlots.has(pool)) shares.setWaitingSlots(pool, undefined);
    }
    for (const [pool, slots] of waitingSlots) {
      shares.setWaitingSlots(pool, slots);
    }
    this.#publishedPools = new Set(waitingSlots.keys());
    if (hasNew) this.#options.requestExchange();
  }

  #remove(work: types.Work, refusal: protocol.errors.Refusal): void {
    const waiter = this.#waiters.get(work.requestId);
    if (waiter === undefined) return;
    this.#waiters.delete(waiter);
    this.#queue.remove(work.requestId);
    this.#options.suspects.recordEnd(work.fingerprint, false);
    waiter.reject(refusal);
    this.#publish();
  }

  #timeoutRefusal(work: types.Work): protocol.errors.Refusal {
    const isCurrent = this.#options.state.isCurrent(this.#now());
    return waitRefusals.placementRefusal(work, isCurrent);
  }
}

/** Returns the servers on which a dispatch permission allows the request. */
function serversPermittedBy(
  permission: core.suspicion.DispatchPermission,
  servers: readonly protocol.control.ServerStatus[],
): readonly protocol.control.ServerStatus[] {
  switch (permission.kind) {
    case "clear":
      return servers;
    case "admitted":
      return servers.filter((server) => server.id === permission.server);
    case "wait":
      return [];
    default:
      return protocol.errors.assertNever(permission);
  }
}

/** Returns the charge of a request in the fair queue, in tokens. */
function chargeOf(work: types.Work): number {
  return Math.max(MIN_CHARGE_TOKENS, work.tokens);
}
