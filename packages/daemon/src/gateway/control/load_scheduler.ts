/**
 * Plans which server holds which model, again and again.
 *
 * @module
 */
import * as timers from "node:timers";
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import type * as orderExecutor from "./order_executor.ts";

/** Time between two plans without a reason, in milliseconds. */
const INTERVAL_MS = 250;
/** Time over which reasons for a plan are collected, in milliseconds. */
const COLLECT_MS = 3;
/** Silence after which a server gets no orders, in milliseconds. */
const SILENT_MS = 4_000;
/** Loads from the store at once that all run at full speed. */
const STORE_CONCURRENCY = 4;

/** What the pager looks at. */
export interface LoadSchedulerOptions {
  readonly executor: orderExecutor.OrderExecutor;
  readonly registry: core.gateway.ServerRegistry;
  readonly demand: core.gateway.DemandTracker;
  configuration(): gateway.Configuration | null;
  withdrawnDomains(): readonly string[];
  canSendOrders(): boolean;
}

/** Turns demand into orders while its host leads. */
export class LoadScheduler implements Disposable {
  readonly #options: LoadSchedulerOptions;
  readonly #interval: NodeJS.Timeout;
  readonly #gates = new Map<string, core.placement.StoreLoadLimiter>();
  #collecting: NodeJS.Timeout | undefined;

  constructor(options: LoadSchedulerOptions) {
    this.#options = options;
    this.#interval = timers.setInterval(() => this.#plan(), INTERVAL_MS);
  }

  /** Plans soon: something has changed. */
  requestPlan(): void {
    this.#collecting ??= timers.setTimeout(() => {
      this.#collecting = undefined;
      this.#plan();
    }, COLLECT_MS);
  }

  [Symbol.dispose](): void {
    timers.clearInterval(this.#interval);
    timers.clearTimeout(this.#collecting);
  }

  #plan(): void {
    if (!this.#options.canSendOrders()) return;
    const now = performance.now();
    for (const service of this.#options.configuration()?.services ?? []) {
      if (service.engine === undefined) continue;
      this.#planService(service.name, service.engine, now);
    }
  }

  #planService(service: string, engine: gateway.Engine, now: number): void {
    const { demand, executor: desk, registry: roster } = this.#options;
    const needs = demand.aggregate(service, now);
    if (
      !needs.some((need) =>
        need.slacksMs.length > 0 || need.arrivalsPerSecond > 0
      )
    ) {
      return;
    }
    const live = roster.activeServers().filter((one) =>
      one.service === service
    );
    const gate = this.#gateOf(service, engine, now);
    const running = countRunning(demand.recentReports(now));
    const orders = core.gateway.planOrders({
      engine,
      servers: live.map((server) => this.#describe(server, running, now)),
      demand: needs,
      canLoadFromStore: gate.admitsModelLoad(desk.activeStoreLoads, now),
      lastRequestedAt: demand.lastRequestedAt,
      loadedAt: desk.loadedAt,
      now,
    });
    for (const order of orders) {
      const server = roster.get(order.server);
      if (server === undefined) continue;
      if (order.kind === "load" && order.source === "store") {
        gate.recordStart(now);
      }
      desk.execute(server, order);
    }
  }

  #gateOf(
    service: string,
    engine: gateway.Engine,
    now: number,
  ): core.placement.StoreLoadLimiter {
    const key = `${service} ${engine.storeLoadsPerSecond}`;
    const known = this.#gates.get(key) ??
      new core.placement.StoreLoadLimiter({
        startsPerSecond: Math.max(1, Math.floor(engine.storeLoadsPerSecond)),
        concurrentLoads: STORE_CONCURRENCY,
        concurrentAdapters: STORE_CONCURRENCY,
      }, now);
    this.#gates.set(key, known);
    return known;
  }

  #describe(
    server: gateway.Heartbeat,
    running: ReadonlyMap<string, ReadonlyMap<string, number>>,
    now: number,
  ): core.gateway.PlannerServer {
    const { executor: desk, registry: roster } = this.#options;
    const isHeard = roster.timeSinceHeartbeat(server.id, now) < SILENT_MS;
    const isWithdrawn = this.#options.withdrawnDomains()
      .includes(server.failureDomain);
    return {
      id: server.id,
      models: server.models,
      isUsable: server.state === "ready" && isHeard && !isWithdrawn,
      ...desk.status(server, now),
      inMemory: new Set(server.inMemory),
      onDisk: new Set(server.onDisk),
      running: running.get(server.id) ?? new Map(),
    };
  }
}

/** Requests by server, then by model and by `model/adapter`. */
function countRunning(
  reports: readonly gateway.ReportRequest[],
): Map<string, Map<string, number>> {
  const servers = new Map<string, Map<string, number>>();
  for (const { load } of reports) {
    for (const { adapter, model, running, server } of load) {
      if (model === undefined) continue;
      const counts = servers.get(server) ?? new Map<string, number>();
      servers.set(server, counts);
      add(counts, model, running);
      if (adapter === undefined) continue;
      add(counts, core.gateway.adapterKey(model, adapter), running);
    }
  }
  return servers;
}

function add(
  counts: Map<string, number>,
  key: string,
  count: number,
): void {
  counts.set(key, (counts.get(key) ?? 0) + count);
}
