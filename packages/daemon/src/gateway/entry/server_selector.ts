/**
 * Selects a server for each request, and queues requests that have to wait for
 * one.
 *
 * @module
 */
import * as timers from "node:timers";
import type * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import type * as fleetView from "./fleet_view.ts";
import type * as serverTracker from "./server_tracker.ts";
import type * as types from "./types.ts";

/**
 * Requests in flight per slot that a plain server may get; it queues a few
 * beyond its slots.
 */
const MAX_PLAIN_UTILIZATION = 1.5;
/** Interval at which the queue is processed, in milliseconds. */
const QUEUE_INTERVAL_MS = 20;
/**
 * By how much the utilization of the server that last processed the same prompt
 * prefix may exceed that of the least utilized one.
 */
const AFFINITY_TOLERANCE = 0.15;
/** Prompt prefixes whose last server is remembered. */
const MAX_PREFIXES = 4_096;

/** A request that waits for a server. */
type QueuedRequest = {
  readonly context: types.RequestContext;
  readonly resolve: (server: gateway.ServerRecord | undefined) => void;
};

/** Dependencies and callbacks of a `ServerSelector`. */
export interface ServerSelectorOptions {
  readonly view: fleetView.FleetView;
  readonly tracker: serverTracker.ServerTracker;
  readonly coldLimiter: core.gateway.ColdServerLimiter;
  /** Called when a request is queued. */
  onQueued(): void;
}

/** Selects servers and holds the queue of requests that wait for one. */
export class ServerSelector implements Disposable {
  readonly #options: ServerSelectorOptions;
  readonly #queue = new Set<QueuedRequest>();
  /** Server that last processed each prompt prefix. */
  readonly #serversByPrefix = new Map<string, string>();
  #interval: NodeJS.Timeout | undefined;

  constructor(options: ServerSelectorOptions) {
    this.#options = options;
    options.view.on("change", () => this.processQueue());
  }

  /** Requests that wait for a server. */
  *queuedRequests(): Generator<types.RequestContext> {
    for (const { context } of this.#queue) yield context;
  }

  /**
   * Selects a server, and waits for one if none can take the request now.
   * Resolves to nothing at the request's queue deadline or when it is aborted.
   */
  async select(
    context: types.RequestContext,
  ): Promise<gateway.ServerRecord | undefined> {
    const now = performance.now();
    const server = this.#findServer(context, now);
    if (server !== undefined) return server;
    if (now >= context.queueDeadline || context.signal.aborted) {
      return undefined;
    }
    return await this.#enqueue(context);
  }

  /** Looks for servers for the queued requests, the most urgent ones first. */
  processQueue(): void {
    if (this.#queue.size === 0) {
      timers.clearInterval(this.#interval);
      this.#interval = undefined;
      return;
    }
    const now = performance.now();
    const ordered = [...this.#queue].sort((one, other) =>
      one.context.priority - other.context.priority ||
      one.context.arrivedAt - other.context.arrivedAt
    );
    for (const queued of ordered) {
      const { context } = queued;
      const isExpired = now >= context.queueDeadline || context.signal.aborted;
      const server = isExpired ? undefined : this.#findServer(context, now);
      if (server === undefined && !isExpired) continue;
      this.#queue.delete(queued);
      queued.resolve(server);
    }
  }

  [Symbol.dispose](): void {
    timers.clearInterval(this.#interval);
    for (const { resolve } of this.#queue) resolve(undefined);
    this.#queue.clear();
  }

  #enqueue(
    context: types.RequestContext,
  ): Promise<gateway.ServerRecord | undefined> {
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
    now: number,
  ): gateway.ServerRecord | undefined {
    const { tracker, view } = this.#options;
    const eligible = view.readyServers(context.service.name)
      .filter((known) => this.#isWithinColdLimit(known, context, now))
      .map(({ record }) => record)
      .filter((record) => hasModel(record, context))
      .filter(({ id }) => !tracker.isModelMissing(id, context, now));
    const healthy = eligible.filter(({ id }) =>
      !tracker.isEjected(id, now) && !context.failedServers.has(id)
    );
    const candidates = (healthy.length > 0 ? healthy : eligible)
      .map((record) => ({ record, utilization: this.#utilization(record) }))
      .filter(({ utilization }) =>
        utilization < (context.service.engine ? 1 : MAX_PLAIN_UTILIZATION)
      );
    const selected = this.#selectCandidate(context, candidates);
    if (selected !== undefined && selected.coldMs > 0) {
      this.#options.coldLimiter.recordRequest(selected.id, now);
    }
    return selected;
  }

  /**
   * Whether a server may get another request while it is cold: it fails under
   * more than a few requests per second then.
   */
  #isWithinColdLimit(
    { lastHeartbeatAt, record }: fleetView.KnownServer,
    { service }: types.RequestContext,
    now: number,
  ): boolean {
    const isWarm = now - lastHeartbeatAt > record.coldMs;
    const { coldRequestsPerSecond } = service;
    return isWarm || coldRequestsPerSecond === 0 ||
      this.#options.coldLimiter.allows(record.id, coldRequestsPerSecond, now);
  }

  /**
   * Selects the least utilized candidate, or the server that last processed the
   * prompt prefix where its utilization is close to that.
   */
  #selectCandidate(
    { metadata }: types.RequestContext,
    candidates: { record: gateway.ServerRecord; utilization: number }[],
  ): gateway.ServerRecord | undefined {
    const leastUtilized =
      candidates.sort((one, other) => one.utilization - other.utilization)[0];
    const { prefixKey } = metadata;
    if (prefixKey === undefined || leastUtilized === undefined) {
      return leastUtilized?.record;
    }
    const previousId = this.#serversByPrefix.get(prefixKey);
    const previous = candidates.find(({ record }) => record.id === previousId);
    const isPreferred = previous !== undefined &&
      previous.utilization <= leastUtilized.utilization + AFFINITY_TOLERANCE;
    const selected = isPreferred ? previous.record : leastUtilized.record;
    this.#rememberServer(prefixKey, selected.id);
    return selected;
  }

  #rememberServer(prefixKey: string, server: string): void {
    this.#serversByPrefix.delete(prefixKey);
    this.#serversByPrefix.set(prefixKey, server);
    const oldest = this.#serversByPrefix.keys().next();
    if (this.#serversByPrefix.size > MAX_PREFIXES && !oldest.done) {
      this.#serversByPrefix.delete(oldest.value);
    }
  }

  /** Requests in flight per slot. */
  #utilization({ id, slots }: gateway.ServerRecord): number {
    return this.#options.tracker.loadOf(id) / Math.max(1, slots);
  }
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
