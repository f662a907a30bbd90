/**
 * Selects a server for each request, and queues requests that have to wait for
 * one.
 *
 * @module
 */
import * as timers from "node:timers";
import * as core from "@ebonypath/core";
import { errors, type gateway } from "@ebonypath/protocol";
import * as engineChoice from "./engine_choice.ts";
import type * as crashSuspects from "./crash_suspects.ts";
import type * as fleetView from "./fleet_view.ts";
import type * as hostDrain from "./host_drain.ts";
import type * as returningCallers from "./returning_callers.ts";
import type * as serverTracker from "./server_tracker.ts";
import * as serverTokens from "./server_tokens.ts";
import type * as types from "./types.ts";
import type * as unitBorrower from "./unit_borrower.ts";

/**
 * Requests in flight per slot that a plain server may get; it queues a few
 * beyond its slots.
 */
const MAX_PLAIN_UTILIZATION = 1.5;
/** Interval at which the queue is processed, in milliseconds. */
const QUEUE_INTERVAL_MS = 20;
/**
 * By how much the utilization of a selected server may exceed that of the least
 * utilized one. Within it, hosts with the same outdated counts spread their
 * requests instead of all choosing the same server.
 */
const UTILIZATION_TOLERANCE = 0.15;

/** A request that waits for a server. */
type QueuedRequest = {
  readonly context: types.RequestContext;
  readonly resolve: (selection: types.Selection) => void;
};

/** Dependencies and callbacks of a `ServerSelector`. */
export interface ServerSelectorOptions {
  readonly view: fleetView.FleetView;
  readonly tracker: serverTracker.ServerTracker;
  readonly callers: Pick<returningCallers.ReturningCallers, "isReturning">;
  /** Failure domain of this host; absent if all servers are as near. */
  readonly failureDomain?: string | undefined;
  readonly borrower: Pick<unitBorrower.UnitBorrower, "tryTake" | "want">;
  readonly suspects: Pick<
    crashSuspects.CrashSuspects,
    "permissionFor" | "recordStart" | "requestAdmission" | "returnAdmission"
  >;
  readonly drain: Pick<hostDrain.HostDrain, "decideStart">;
  /** Called with an unreachable server that is to be probed. */
  onProbeDue(server: gateway.ServerRecord): void;
  /** Called when a request is queued. */
  onQueued(): void;
  /** Called when a request leaves the queue. */
  onDequeued(): void;
}

/** Selects servers and holds the queue of requests that wait for one. */
export class ServerSelector implements Disposable {
  readonly #options: ServerSelectorOptions;
  readonly #engineChoice: engineChoice.EngineChoice;
  readonly #queue = new Set<QueuedRequest>();
  #interval: NodeJS.Timeout | undefined;

  constructor(options: ServerSelectorOptions) {
    this.#options = options;
    const { callers, failureDomain, tracker, view } = options;
    this.#engineChoice = new engineChoice.EngineChoice({
      callers,
      failureDomain,
      tracker,
      view,
    });
    options.view.on("change", () => this.processQueue());
  }

  /** Requests that wait for a server, other than those held back. */
  *queuedRequests(): Generator<types.RequestContext> {
    for (const { context } of this.#queue) {
      if (!this.#engineChoice.isHeld(context)) yield context;
    }
  }

  /** Number of requests that wait although a server has room. */
  get heldCount(): number {
    return this.#engineChoice.heldCount;
  }

  /**
   * Selects a server, and waits for one if none can take the request now.
   * Gives up at the request's queue deadline, when it is aborted, when the
   * leader forecasts that its model will be loaded too late, when no server is
   * left that has the software version of the stream that it resumes, when the
   * request is in quarantine, when all servers want no requests for longer than
   * it waits, or when this host stops before the request might end.
   */
  async select(context: types.RequestContext): Promise<types.Selection> {
    if (context.signal.aborted) return { kind: "expired" };
    const now = performance.now();
    const selection = this.#trySelect(context, now);
    if (selection !== undefined) return selection;
    if (now >= context.queueDeadline) {
      return this.#expire(context, [...this.#queue], now);
    }
    return await this.#enqueue(context);
  }

  /** Whether requests wait for a server. */
  get isWaiting(): boolean {
    return this.#queue.size > 0;
  }

  /** Gives up the requests whose models will be loaded too late. */
  applyForecasts(forecasts: readonly gateway.LoadForecast[]): void {
    const now = performance.now();
    for (const forecast of forecasts) {
      for (const queued of this.#queue) {
        const { metadata, queueDeadline, service } = queued.context;
        if (service.name !== forecast.service) continue;
        const isInTime = now + forecast.readyMs <= queueDeadline;
        if (metadata.model !== forecast.model || isInTime) continue;
        this.#dequeue(queued, { kind: "hopeless", forecast });
      }
    }
  }

  /** Looks for servers for the queued requests, the most urgent ones first. */
  processQueue(): void {
    if (this.#queue.size === 0) {
      timers.clearInterval(this.#interval);
      this.#interval = undefined;
      return;
    }
    const now = performance.now();
    const ordered = this.#orderedQueue(now);
    for (const [index, queued] of ordered.entries()) {
      const { context } = queued;
      const isExpired = now >= context.queueDeadline || context.signal.aborted;
      const selection = isExpired
        ? this.#expire(context, ordered.slice(0, index), now)
        : this.#trySelect(context, now);
      if (selection !== undefined) this.#dequeue(queued, selection);
    }
  }

  #orderedQueue(now: number): QueuedRequest[] {
    const queue = [...this.#queue];
    const plain = queue.filter(({ context }) =>
      context.service.engine === undefined
    ).sort((one, other) =>
      one.context.priority - other.context.priority ||
      one.context.arrivedAt - other.context.arrivedAt
    );
    const engine = core.gateway.orderWaiting(
      queue.filter(({ context }) => context.service.engine !== undefined),
      ({ context }) => this.#engineChoice.describe(context),
      now,
    );
    return [...plain, ...engine];
  }

  /**
   * Gives up a request, and estimates when there is room for it.
   *
   * @param earlier requests that went before it, of which some still wait
   */
  #expire(
    context: types.RequestContext,
    earlier: readonly QueuedRequest[],
    now: number,
  ): types.Selection {
    const { engine, name } = context.service;
    if (engine === undefined) return { kind: "expired" };
    const servers = this.#capableServers(context, now).length;
    if (servers === 0) {
      const isLoaded = this.#options.view.readyServers(name)
        .some(({ record }) => holds(record, context.metadata.model));
      return { kind: "expired", missing: isLoaded ? "adapter" : "model" };
    }
    const { tokens } = this.#options.tracker;
    const waiting = earlier.filter((queued) =>
      this.#queue.has(queued) && queued.context.service.name === name &&
      queued.context.metadata.model === context.metadata.model
    );
    const unreadTokens = waiting.reduce(
      (sum, queued) => sum + serverTokens.tokensOf(queued.context).unreadTokens,
      0,
    );
    const { msPerToken } = tokens.estimateOf(name);
    return { kind: "expired", roomMs: unreadTokens * msPerToken / servers };
  }

  /** Decides on a request, unless it has to wait. */
  #trySelect(
    context: types.RequestContext,
    now: number,
  ): types.Selection | undefined {
    const { drain, suspects } = this.#options;
    if (drain.decideStart(context, now).kind === "refuse") {
      return { kind: "stopping" };
    }
    const permission = suspects.permissionFor(context, now);
    if (permission.kind === "quarantined") return permission;
    const isRateThere = context.rateHold?.fits(now) ?? true;
    const server = isRateThere
      ? this.#findServer(context, permission, now)
      : undefined;
    if (server !== undefined) {
      if (context.rateHold?.take(now) === false) return undefined;
      if (permission.kind === "admitted") suspects.recordStart(context);
      return { kind: "server", server };
    }
    if (this.#isVersionGone(context)) return { kind: "version-gone" };
    const closedMs = this.#closedMs(context, now);
    return now + closedMs > context.queueDeadline
      ? { kind: "closed", remainingMs: closedMs }
      : undefined;
  }

  /**
   * Time for which all servers that can run a request want none, in milliseconds;
   * 0 if any takes requests, or none can run it yet.
   */
  #closedMs(context: types.RequestContext, now: number): number {
    const { availability } = this.#options.tracker;
    if (!availability.hasClosed(now)) return 0;
    const times = this.#capableServers(context, now).map(({ record }) => {
      const one = availability.of(record, now);
      return one.kind === "closed" ? one.remainingMs : 0;
    });
    return times.length === 0 ? 0 : Math.min(...times);
  }

  #isVersionGone(context: types.RequestContext): boolean {
    const { tracker, view } = this.#options;
    const now = performance.now();
    return context.origin !== undefined &&
      !view.readyServers(context.service.name).some(({ record }) =>
        hasVersion(record, context) &&
        tracker.availability.of(record, now).kind !== "leaving"
      );
  }

  #dequeue(queued: QueuedRequest, selection: types.Selection): void {
    this.#queue.delete(queued);
    this.#engineChoice.forget(queued.context);
    this.#options.onDequeued();
    queued.resolve(selection);
  }

  [Symbol.dispose](): void {
    timers.clearInterval(this.#interval);
    for (const { resolve } of this.#queue) resolve({ kind: "expired" });
    this.#queue.clear();
  }

  #enqueue(context: types.RequestContext): Promise<types.Selection> {
    context.rateHold?.release();
    return new Promise((resolve) => {
      this.#queue.add({ context, resolve });
      this.#interval ??= timers.setInterval(
        () => this.processQueue(),
        QUEUE_INTERVAL_MS,
      );
      this.#options.onQueued();
    });
  }

  #findServer(
    context: types.RequestContext,
    permission: core.suspicion.DispatchPermission,
    now: number,
  ): gateway.ServerRecord | undefined {
    const { tracker } = this.#options;
    const eligible = this.#permittedServers(context, permission, now);
    const healthy = eligible.filter(({ record: { id } }) =>
      !tracker.isEjected(id, now) && !context.failedServers.has(id)
    );
    const maxUtilization = context.service.engine ? 1 : MAX_PLAIN_UTILIZATION;
    const mayUseKept = this.#engineChoice.mayUseKeptRoom(context, now);
    const candidates = (healthy.length > 0 ? healthy : eligible)
      .map((known) => ({
        id: known.record.id,
        record: known.record,
        utilization: this.#utilization(known.record, now),
        kept: mayUseKept ? 0 : this.#keptPart(known.record, now),
        isCold: isCold(known, context, now),
      }))
      .filter(({ kept, utilization }) => utilization + kept < maxUtilization);
    const warm = candidates.filter((one) => !one.isCold);
    if (context.service.engine === undefined) {
      return selectCandidate(context, warm)?.record ??
        this.#selectCold(context, candidates);
    }
    const withMemory = warm.filter(({ id }) =>
      this.#engineChoice.hasMemory(id, context, now)
    );
    const choice = this.#engineChoice.choose(context, withMemory, now);
    switch (choice.kind) {
      case "server":
        return choice.candidate.record;
      case "hold":
        return undefined;
      case "none":
        return this.#selectCold(
          context,
          candidates.filter((one) => one.isCold),
        );
      default:
        return errors.assertNever(choice);
    }
  }

  /**
   * Servers that can run a request and that suspicion permits. A suspect runs
   * only on the server for which the leader admits it; without an admission, one
   * is requested.
   */
  #permittedServers(
    context: types.RequestContext,
    permission: core.suspicion.DispatchPermission,
    now: number,
  ): readonly fleetView.KnownServer[] {
    const { suspects } = this.#options;
    const eligible = this.#eligibleServers(context, now);
    if (permission.kind === "clear") return eligible;
    if (permission.kind === "admitted") {
      const admitted = eligible.filter(({ record }) =>
        record.id === permission.server
      );
      if (admitted.length > 0) return admitted;
      // The server was lost, or has unloaded the model, after the admission.
      suspects.returnAdmission(context);
    }
    const byUtilization = eligible.toSorted((one, other) =>
      this.#utilization(one.record, now) - this.#utilization(other.record, now)
    );
    const ids = byUtilization.map(({ record }) => record.id);
    suspects.requestAdmission(context, ids, now);
    return [];
  }

  /** Servers that can run a request, and take it as far as this host knows. */
  #eligibleServers(
    context: types.RequestContext,
    now: number,
  ): fleetView.KnownServer[] {
    const { onProbeDue, tracker } = this.#options;
    return this.#capableServers(context, now).filter(({ record }) => {
      const availability = tracker.availability.of(record, now);
      const isProbeDue = availability.kind === "unreachable" &&
        availability.isProbeDue;
      if (isProbeDue) onProbeDue(record);
      return availability.kind === "available";
    });
  }

  /** Servers that can run a request. */
  #capableServers(
    context: types.RequestContext,
    now: number,
  ): fleetView.KnownServer[] {
    const { tracker, view } = this.#options;
    return view.readyServers(context.service.name)
      .filter(({ record }) => hasVersion(record, context))
      .filter(({ record }) => hasModel(record, context))
      .filter(({ record }) => !tracker.isModelMissing(record.id, context, now));
  }

  /**
   * Selects a server that is cold: it fails under more than a few requests per
   * second then, so each request needs a unit of a limit for all hosts.
   */
  #selectCold(
    context: types.RequestContext,
    candidates: readonly Candidate[],
  ): gateway.ServerRecord | undefined {
    const { borrower } = this.#options;
    const withUnit = candidates.find(({ id }) =>
      borrower.tryTake("cold-server", id)
    );
    if (withUnit !== undefined) return withUnit.record;
    const selected = selectCandidate(context, candidates);
    if (selected !== undefined) borrower.want("cold-server", selected.id);
    return undefined;
  }

  /** Part of a server's slots that is kept for callers that come back. */
  #keptPart({ id, slots }: gateway.ServerRecord, now: number): number {
    return this.#options.tracker.keptSlots(id, now) / Math.max(1, slots);
  }

  /** Requests in flight per slot. */
  #utilization({ id, slots }: gateway.ServerRecord, now: number): number {
    return this.#options.tracker.loadOf(id, now) / Math.max(1, slots);
  }
}

/** A server that may take a request. */
type Candidate = core.gateway.BalancedServer & {
  readonly record: gateway.ServerRecord;
  readonly isCold: boolean;
};

function selectCandidate(
  { metadata }: types.RequestContext,
  candidates: readonly Candidate[],
): Candidate | undefined {
  // Without a prompt prefix, any of the least utilized servers is as good.
  const key = metadata.prefixKey ?? metadata.id ?? "";
  return core.gateway.selectBalanced(candidates, key, UTILIZATION_TOLERANCE);
}

/** Whether a server has not warmed up yet and has a limit until then. */
function isCold(
  { lastHeartbeatAt, record }: fleetView.KnownServer,
  { service }: types.RequestContext,
  now: number,
): boolean {
  return service.coldRequestsPerSecond > 0 &&
    now - lastHeartbeatAt <= record.coldMs;
}

/** Whether a server has a model loaded. */
function holds(
  { models }: gateway.ServerRecord,
  model: string | undefined,
): boolean {
  return models.some(({ name }) => name === model);
}

/** Whether a server may continue the stream that a request resumes, if any. */
function hasVersion(
  { softwareVersion }: gateway.ServerRecord,
  { origin }: types.RequestContext,
): boolean {
  return origin === undefined || origin.softwareVersion === softwareVersion;
}

/**
 * Whether a server has the model and adapter that a request needs, and is not
 * about to unload the model.
 */
function hasModel(
  { leaving, models }: gateway.ServerRecord,
  { metadata, service }: types.RequestContext,
): boolean {
  const { adapter, model } = metadata;
  if (service.engine === undefined || model === undefined) return true;
  if (leaving.includes(model)) return false;
  const loaded = models.find(({ name }) => name === model);
  if (loaded === undefined) return false;
  return adapter === undefined || loaded.adapters.includes(adapter);
}
