/**
 * Schedules the planning of which server holds which model.
 *
 * @module
 */
import * as timers from "node:timers";
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import * as log from "../../log/mod.ts";
import type * as metrics from "../metrics.ts";
import type * as orderExecutor from "./order_executor.ts";
import * as unservedReport from "./unserved_report.ts";

const write = log.createLog("orders");

/** Interval of planning rounds without a change, in milliseconds. */
const PLAN_INTERVAL_MS = 250;
/** Time over which changes are collected before planning, in milliseconds. */
const COLLECT_MS = 3;
/**
 * Part of the leader's time that planning may take. The rest is for the messages
 * that keep it the leader, and for those that it plans by.
 */
const MAX_PLAN_SHARE = 0.25;
/** Time without a heartbeat after which a server gets no orders, in ms. */
const SILENT_MS = 4_000;
/** Most adapters that are loaded from the store at once. */
const ADAPTER_CONCURRENCY = 4;
/** Bound of the loads from the store at once, whatever is measured. */
const MAX_STORE_LOADS = 64;
/**
 * How far loads that serve many requests may exceed the loads that the store
 * serves at full speed: each takes twice its time at most.
 */
const MAX_OVERLOAD = 2;
/** Age from which a forecast is not used, in milliseconds. */
const FORECAST_LIFETIME_MS = 1_000;

/** Options of a load scheduler. */
export interface LoadSchedulerOptions {
  readonly executor: orderExecutor.OrderExecutor;
  readonly registry: core.gateway.ServerRegistry;
  readonly demandTracker: core.gateway.DemandTracker;
  readonly metrics: metrics.GatewayMetrics;
  configuration(): gateway.Configuration | null;
  withdrawnDomains(): readonly string[];
  canSendOrders(): boolean;
}

/** When a model can be loaded, in milliseconds from the time of the forecast. */
type Forecast = { readonly readyMs: number; readonly at: number };

/** Turns demand into orders while its host is the leader. */
export class LoadScheduler implements Disposable {
  readonly #options: LoadSchedulerOptions;
  readonly #interval: NodeJS.Timeout;
  readonly #storeConcurrency = new core.gateway.StoreConcurrency();
  /** Forecasts by service and model. */
  #forecasts = new Map<string, Forecast>();
  /** Models that the last round has chosen a server for, by service. */
  #plannedModels = new Map<string, ReadonlySet<string>>();
  /** Number of rounds so far: orders to load follow from these alone. */
  round = 0;
  /** Resolve when the next round is planned. */
  #planned: (() => void)[] = [];
  readonly #storeLimiters = new Map<string, core.placement.StoreLoadLimiter>();
  /** By service. */
  readonly #unserved = new Map<string, core.gateway.UnservedModels>();
  readonly #unservedReport: unservedReport.UnservedReport;
  /** Monotonic time of the first demand, in milliseconds. */
  #demandSince: number | undefined;
  #collectTimer: NodeJS.Timeout | undefined;
  /** Monotonic time before which no round is planned, in milliseconds. */
  #nextPlanAt = -Infinity;

  constructor(options: LoadSchedulerOptions) {
    this.#options = options;
    this.#unservedReport = new unservedReport.UnservedReport(options.metrics);
    this.#interval = timers.setInterval(
      () => this.requestPlan(),
      PLAN_INTERVAL_MS,
    );
  }

  /** Plans soon, because something has changed. */
  requestPlan(): void {
    this.#collectTimer ??= timers.setTimeout(() => {
      this.#collectTimer = undefined;
      this.#plan();
    }, Math.max(COLLECT_MS, this.#nextPlanAt - performance.now()));
  }

  /** Plans soon; resolves when that is done. */
  planned(): Promise<void> {
    this.requestPlan();
    return new Promise((resolve) => this.#planned.push(resolve));
  }

  /** Records a completed load from the weight store. */
  recordStoreLoad(load: core.gateway.StoreLoad): void {
    const { limit } = this.#storeConcurrency;
    this.#storeConcurrency.recordLoad(load);
    if (this.#storeConcurrency.limit === limit) return;
    write("store-concurrency", {
      limit: this.#storeConcurrency.limit,
      before: limit,
      concurrency: Math.round(load.concurrency),
      at_start: load.concurrencyAtStart,
      took_ms: Math.round(load.durationMs),
      expected_ms: Math.round(load.expectedMs),
    });
  }

  /**
   * Time until a model that no server holds can be loaded at the earliest, in
   * milliseconds; `undefined` if that is not known.
   */
  readyMs(service: string, model: string, now: number): number | undefined {
    const forecast = this.#forecasts.get(`${service} ${model}`);
    if (forecast === undefined || now - forecast.at > FORECAST_LIFETIME_MS) {
      return undefined;
    }
    return Math.max(0, forecast.at + forecast.readyMs - now);
  }

  /**
   * Whether the last round has chosen a server for a model that is not loaded,
   * also one that is busy or has to unload another model first.
   */
  isPlanned(service: string, model: string): boolean {
    return this.#plannedModels.get(service)?.has(model) ?? false;
  }

  [Symbol.dispose](): void {
    timers.clearInterval(this.#interval);
    timers.clearTimeout(this.#collectTimer);
    this.#unservedReport[Symbol.dispose]();
    this.#resolvePlanned();
  }

  #plan(): void {
    const startedAt = performance.now();
    if (this.#options.canSendOrders()) this.#planServices();
    const endedAt = performance.now();
    this.#nextPlanAt = startedAt + (endedAt - startedAt) / MAX_PLAN_SHARE;
    this.#resolvePlanned();
  }

  #resolvePlanned(): void {
    const planned = this.#planned;
    this.#planned = [];
    for (const resolve of planned) resolve();
  }

  #planServices(): void {
    this.#forecasts = new Map();
    this.#plannedModels = new Map();
    this.round += 1;
    const now = performance.now();
    for (const service of this.#options.configuration()?.services ?? []) {
      if (service.engine === undefined) continue;
      this.#planService(service.name, service.engine, now);
    }
  }

  #planService(service: string, engine: gateway.Engine, now: number): void {
    const { demandTracker, executor, registry } = this.#options;
    const demand = demandTracker.aggregate(service, now);
    if (
      !demand.some((one) =>
        one.slacksMs.length > 0 || one.arrivalsPerSecond > 0
      )
    ) {
      return;
    }
    const servers = registry.activeServers().filter((one) =>
      one.service === service
    );
    const limiter = this.#storeLimiterOf(service, engine, now);
    const plannerServers = () =>
      servers.map((server) => this.#toPlannerServer(server, now));
    const view = plannerServers();
    const unserved = this.#unserved.get(service) ??
      new core.gateway.UnservedModels();
    this.#unserved.set(service, unserved);
    const ends = unserved.update(
      demand,
      view,
      demandTracker.lastRequestedAt,
      now,
    );
    const ages = unserved.ages(now);
    this.#demandSince ??= now;
    const ownLoads = executor.storeLoadsAt(servers);
    const othersLoads = executor.activeStoreLoads - ownLoads;
    const maxLoads = othersLoads + core.gateway.maxStoreLoads(view);
    const limit = this.#storeConcurrency.limitBeside(
      executor.overdueStoreLoads(now),
    );
    const storeLimit = Math.min(limit, maxLoads);
    const admits = !executor.isSurveying(now) &&
      limiter.admitsModelLoad(executor.activeStoreLoads, now);
    const { obstacles, orders, planned } = core.gateway.planRound({
      engine,
      servers: view,
      demand,
      canLoadFromStore: admits && executor.activeStoreLoads < storeLimit,
      canOverloadStore: admits &&
        executor.activeStoreLoads <
          Math.min(limit * MAX_OVERLOAD, maxLoads),
      lastRequestedAt: demandTracker.lastRequestedAt,
      unservedMs: ages,
      observedMs: now - this.#demandSince,
      loadedAt: executor.loadedAt,
      now,
    });
    this.#plannedModels.set(service, planned);
    this.#unservedReport.add(
      { service, ages, ends, obstacles, orders, servers: view },
      now,
    );
    for (const order of orders) {
      const server = registry.get(order.server);
      if (server === undefined) continue;
      if (order.kind === "load" && order.source === "store") {
        limiter.recordStart(now);
      }
      executor.execute(server, order);
    }
    const forecasts = core.gateway.forecastLoads({
      engine,
      servers: plannerServers(),
      demand: core.gateway.mergeAdapters(demand),
      storeLoadsMs: executor.storeLoadsMs(now),
      storeConcurrency: storeLimit,
    });
    for (const [model, readyMs] of forecasts) {
      // No server is known yet, or all are out: nothing to foresee.
      if (!Number.isFinite(readyMs)) continue;
      this.#forecasts.set(`${service} ${model}`, { readyMs, at: now });
    }
  }

  #storeLimiterOf(
    service: string,
    engine: gateway.Engine,
    now: number,
  ): core.placement.StoreLoadLimiter {
    const key = `${service} ${engine.storeLoadsPerSecond}`;
    const known = this.#storeLimiters.get(key) ??
      new core.placement.StoreLoadLimiter({
        startsPerSecond: Math.max(1, Math.floor(engine.storeLoadsPerSecond)),
        concurrentLoads: MAX_STORE_LOADS,
        concurrentAdapters: ADAPTER_CONCURRENCY,
      }, now);
    this.#storeLimiters.set(key, known);
    return known;
  }

  #toPlannerServer(
    server: gateway.Heartbeat,
    now: number,
  ): core.gateway.PlannerServer {
    const { demandTracker, executor, registry } = this.#options;
    // What a server has on its disk is only known from the server itself.
    const hasHeartbeat = registry.isHeard(server.id) &&
      registry.timeSinceHeartbeatMs(server.id, now) < SILENT_MS;
    const isWithdrawn = this.#options.withdrawnDomains()
      .includes(server.failureDomain);
    return {
      id: server.id,
      softwareVersion: server.softwareVersion,
      models: server.models,
      isUsable: server.state === "ready" && hasHeartbeat && !isWithdrawn,
      isLeaving: server.state === "draining",
      ...executor.status(server, now),
      inMemory: new Set(server.inMemory),
      onDisk: new Set(server.onDisk),
      running: demandTracker.runningOn(server.id),
    };
  }
}
