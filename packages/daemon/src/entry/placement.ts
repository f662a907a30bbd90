/**
 * Waiting for a slot on a backend server that serves the request's target.
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

/** The part of {@link core.limits.ShareHolder} that placement uses. */
export type SlotShares = Pick<
  core.limits.ShareHolder,
  | "acquireSlot"
  | "availableSlots"
  | "isSettled"
  | "runningOn"
  | "setWaitingSlots"
>;

/** What placement works with. */
export interface PlacementOptions {
  readonly state: Pick<host.FleetState, "view" | "servers" | "isCurrent">;
  readonly shares: SlotShares;
  /** Requests that may crash the servers that run them. */
  readonly suspects: core.suspicion.HostSuspects;
  /** Most requests that may wait at this host. */
  readonly maxQueue: number;
  /** Asks the leader for shares and loads, soon. */
  requestExchange(): void;
  /** The monotonic clock, in milliseconds. */
  now?(): number;
}

/** Weight of requests on open routes, which have no workspace. */
const OPEN_ROUTE_WEIGHT = 1;
/** Urgency of the queue for each priority of a backend server. */
const HIGHEST_PRIORITY = 2;

/** Time by which a timer may fire early, in milliseconds. */
const TIMER_LEAD_MS = 1;

/** Least service that a request is charged with: a call may cost nothing. */
const LEAST_TOKENS = 1;

interface PlacedWaiter {
  readonly waiter: waiting.Waiter;
  readonly placement: waiting.Placement;
}

/** Gives waiting requests to servers as slots become free. */
export class PlacementQueue {
  readonly #options: PlacementOptions;
  readonly #queue: core.queue.FairQueue;
  readonly #waiters = new waiting.Waiters();
  readonly #now: () => number;
  readonly #hints = new core.routing.PrefixHints();
  /** Servers that fail for this host. */
  readonly outliers = new core.routing.OutlierDetector();
  /** Times that are left for servers before a deadline. */
  readonly serviceTimes = new serviceTimes.ServiceTimes();
  /** Servers that were told to the shares as waited for. */
  #waitedFor = new Set<string>();

  constructor(options: PlacementOptions) {
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
    this.#queue = new core.queue.FairQueue({
      ...core.queue.DEFAULT_QUEUE_LIMITS,
      maxTotal: options.maxQueue,
    });
  }

  /** Works that wait for a slot. */
  *waiting(): Generator<types.Work> {
    for (const waiter of this.#waiters.all()) yield waiter.work;
  }

  /** Works among them that were sent to no server yet. */
  *untried(): Generator<types.Work> {
    for (const { tried, work } of this.#waiters.all()) {
      if (tried.ids.size === 0) yield work;
    }
  }

  /**
   * Waits for a slot as long as a server can still answer by the deadline. What
   * cannot start in time, as far as is known, is refused at once.
   *
   * @param from When the time to wait began.
   * @throws {protocol.errors.Refusal} no capacity in time; nothing was run
   */
  async place(
    work: types.Work,
    tried: triedServers.PriorAttempts,
    signal: AbortSignal,
    from: number,
  ): Promise<waiting.Placement> {
    const now = this.#now();
    const dispatchBy = this.dispatchDeadline(work, from);
    if (!signal.aborted && now < dispatchBy) {
      const placement = this.#placeAtOnce({ work, tried }, now);
      if (placement !== undefined) return placement;
    }
    this.#enqueue(work, tried.ids.size === 0, dispatchBy, now);
    const entered = new Promise<waiting.Placement>((resolve, reject) => {
      this.#waiters.add({ work, tried, since: now, from, resolve, reject });
    });
    const timer = setTimeout(
      () => this.#remove(work, this.#refusalOf(work)),
      dispatchBy - now,
    );
    const returnTimer = this.#pumpAt(tried.avoidedUntil, now);
    const abort = () => this.#remove(work, admission.callerDisconnected());
    signal.addEventListener("abort", abort);
    if (signal.aborted) abort();
    this.placeWaiting();
    if (this.#waiters.get(work.requestId) !== undefined) {
      this.#options.requestExchange();
    }
    try {
      return await entered;
    } finally {
      clearTimeout(timer);
      clearTimeout(returnTimer);
      signal.removeEventListener("abort", abort);
    }
  }

  /**
   * Time by which work must be at a server to be answered in time.
   *
   * @param from When its time to wait began.
   */
  dispatchDeadline(work: types.Work, from: number): number {
    const { deadline, stream, target } = work;
    return this.serviceTimes.dispatchDeadline(target, deadline, from, stream);
  }

  /**
   * Time by which work must come here to be answered in time: the wait for a
   * slot that is expected now is left for it.
   *
   * @param from When its time to wait began.
   * @throws {protocol.errors.Refusal} it would be too late now
   */
  admissionDeadline(work: types.Work, from: number): number {
    const now = this.#now();
    const dispatchBy = this.dispatchDeadline(work, from);
    const request = this.#requestOf(work, dispatchBy, now);
    const arriveBy = dispatchBy - this.#expectedWaitMs(work, request, now);
    if (arriveBy >= now) return arriveBy;
    throw waitRefusals.queueRefusal(work, "too-late", now - arriveBy);
  }

  /** Places what can be placed, after shares or servers have changed. */
  placeWaiting(): void {
    const now = this.#now();
    if (this.#waiters.isEmpty && this.#waitedFor.size === 0) return;
    if (!this.#options.state.isCurrent(now)) return;
    const blocked = new Set<string>();
    while (this.#placeNext(blocked, now));
    this.#publish();
  }

  /** Places again once tried servers are avoided no longer. */
  #pumpAt(time: number, now: number): NodeJS.Timeout | undefined {
    if (time <= now) return undefined;
    return setTimeout(
      () => this.placeWaiting(),
      Math.ceil(time - now) + TIMER_LEAD_MS,
    );
  }

  /** Most requests find a slot and nobody before them: they need no line. */
  #placeAtOnce(
    waiter: waiting.PlacementRequest,
    now: number,
  ): waiting.Placement | undefined {
    const isFree = this.#waiters.isEmpty && this.#options.state.isCurrent(now);
    return isFree ? this.#tryPlace(waiter, now) : undefined;
  }

  #enqueue(
    work: types.Work,
    isFirst: boolean,
    dispatchBy: number,
    now: number,
  ): void {
    const request = this.#requestOf(work, dispatchBy, now);
    const waitMs = isFirst ? this.#expectedWaitMs(work, request, now) : 0;
    const result = this.#queue.add(request, waitMs, now);
    if (result.kind === "queued") return;
    const lateMs = now + waitMs - dispatchBy;
    throw waitRefusals.queueRefusal(work, result.kind, lateMs);
  }

  #requestOf(
    work: types.Work,
    dispatchBy: number,
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
      deadline: dispatchBy,
    };
  }

  /**
   * How long a first try would wait, from what is before it in fair order and
   * how fast its target's line is served here; 0 while that is not known.
   */
  #expectedWaitMs(
    work: types.Work,
    request: core.queue.WaitingRequest,
    now: number,
  ): number {
    if (!this.#options.shares.isSettled(now)) return 0;
    const { target } = work;
    const line = this.#waiters.lines.get(target);
    const supply = line?.throughput.perMs(now);
    if (supply === undefined) return 0;
    const before = this.#queue.tokensBefore(
      request,
      now,
      ({ id }) => this.#waiters.get(id)?.work.target === target,
    );
    return before / Math.max(supply, this.#slotRate(work, request.tokens, now));
  }

  /** Tokens a millisecond that the slots of this host allow for. */
  #slotRate(work: types.Work, tokens: number, now: number): number {
    const { shares } = this.#options;
    const heldMs = this.serviceTimes.slotTimeMs(work.target);
    if (heldMs === undefined) return 0;
    let slots = 0;
    for (
      const server of this.#candidates({
        work,
        tried: triedServers.NO_PRIOR_ATTEMPTS,
      })
    ) {
      const pool = protocol.control.slotPool(server);
      slots += shares.runningOn(pool) + shares.availableSlots(pool, now);
    }
    return slots * tokens / Math.max(1, heldMs);
  }

  /**
   * Places the next request in fair order; false when none can be placed.
   *
   * @param blocked Targets for which no server has room in this round.
   */
  #placeNext(blocked: Set<string>, now: number): boolean {
    const { lines, retries } = this.#waiters;
    const late: waiting.Waiter[] = [];
    let placed: PlacedWaiter | undefined;
    this.#queue.take((request) => {
      if (blocked.size >= lines.size && retries.size === 0) return "stop";
      const waiter = this.#waiters.get(request.id);
      if (waiter === undefined) return "next-request";
      const isFirst = waiter.tried.ids.size === 0;
      const { target } = waiter.work;
      if (isFirst && blocked.has(target)) return "next-request";
      // Servers may have become slower since the request began to wait.
      if (now >= this.dispatchDeadline(waiter.work, waiter.from)) {
        late.push(waiter);
        return "next-request";
      }
      const placement = this.#tryPlace(waiter, now);
      if (placement === undefined) {
        // A suspect may be held while others of its target have room.
        const isHeld = this.#clearance(waiter, now).kind !== "clear";
        if (isFirst && !isHeld) blocked.add(target);
        return "next-request";
      }
      placed = { waiter, placement };
      return "take";
    }, now);
    for (const { work } of late) this.#remove(work, this.#refusalOf(work));
    if (placed === undefined) return false;
    this.#leave(placed, now);
    return true;
  }

  #leave({ waiter, placement }: PlacedWaiter, now: number): void {
    const { work } = waiter;
    this.#waiters.lines.get(work.target)?.throughput.recordServed(
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
    const { shares, suspects: watch } = this.#options;
    const free = this.#cleared(waiter, this.#candidates(waiter), now)
      .filter((server) =>
        shares.availableSlots(protocol.control.slotPool(server), now) > 0
      );
    const server = serverSelection.selectServer(waiter, free, {
      ...this.#options,
      hints: this.#hints,
      outliers: this.outliers,
    }, now);
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
      watch.recordStart(waiter.work.fingerprint);
    }
    return { server, slot: taken.slot };
  }

  #clearance(
    waiter: waiting.PlacementRequest,
    now: number,
  ): core.suspicion.DispatchPermission {
    const { suspects: watch } = this.#options;
    return watch.permissionFor(waiter.work.fingerprint, now);
  }

  /** Suspects run where the leader admits them, apart from one another. */
  #cleared(
    waiter: waiting.PlacementRequest,
    servers: readonly protocol.control.ServerStatus[],
    now: number,
  ): readonly protocol.control.ServerStatus[] {
    const { suspects: watch } = this.#options;
    const { deadline, fingerprint } = waiter.work;
    const clearance = this.#clearance(waiter, now);
    const allowed = allowedBy(clearance, servers);
    // A server may be lost after it was named: the leader knew of no other.
    const isStranded = clearance.kind === "admitted" && allowed.length === 0;
    if (isStranded) watch.returnAdmission(fingerprint);
    if (isStranded || clearance.kind === "wait") {
      watch.requestAdmission(
        fingerprint,
        servers.map(({ id }) => id),
        deadline - now,
      );
    }
    return allowed;
  }

  /**
   * Servers of which a slot would let the work begin. A suspect asks for none
   * before it is admitted: the slots of a small server would go to hosts whose
   * suspects may not run, and the one that may run would get none.
   */
  #wanted(waiter: waiting.Waiter): readonly protocol.control.ServerStatus[] {
    const clearance = this.#clearance(waiter, this.#now());
    return allowedBy(clearance, this.#candidates(waiter));
  }

  /** Servers that may run the work now; tried ones only if none else can. */
  #candidates(
    waiter: waiting.PlacementRequest,
  ): protocol.control.ServerStatus[] {
    const { state } = this.#options;
    const able = [...state.servers.values()].filter((server) =>
      server.usable && !state.view.isWithdrawn(server.failureDomain) &&
      protocol.control.serves(server, waiter.work.target)
    );
    const { avoidedUntil, ids } = waiter.tried;
    const others = able.filter((server) => !ids.has(server.id));
    if (others.length > 0 || this.#now() < avoidedUntil) return others;
    return able;
  }

  /** Tells the shares which servers are waited for. */
  #publish(): void {
    const { shares } = this.#options;
    const now = this.#now();
    const waited = waiting.waitingSlotsByPool(
      this.#waiters,
      (waiter) => this.#wanted(waiter),
      (waiter) => this.#clearance(waiter, now).kind === "wait",
    );
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
    this.#waiters.delete(waiter);
    this.#queue.remove(work.requestId);
    this.#options.suspects.recordEnd(work.fingerprint, false);
    waiter.reject(refusal);
    this.#publish();
  }

  #refusalOf(work: types.Work): protocol.errors.Refusal {
    const isCurrent = this.#options.state.isCurrent(this.#now());
    return waitRefusals.placementRefusal(work, isCurrent);
  }
}

/** Those servers at which a request may run, as far as suspicion goes. */
function allowedBy(
  clearance: core.suspicion.DispatchPermission,
  servers: readonly protocol.control.ServerStatus[],
): readonly protocol.control.ServerStatus[] {
  switch (clearance.kind) {
    case "clear":
      return servers;
    case "admitted":
      return servers.filter((server) => server.id === clearance.server);
    case "wait":
      return [];
    default:
      return protocol.errors.assertNever(clearance);
  }
}

/** Service that a request is charged with, in tokens. */
function chargeOf(work: types.Work): number {
  return Math.max(LEAST_TOKENS, work.tokens);
}
