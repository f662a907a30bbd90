/**
 * Plans which server loads or unloads which model next.
 *
 * There are many more models than the servers have room for. The planner loads
 * each model with waiting requests soon, on the server that can have it ready
 * first, and keeps enough replicas of models with steady demand.
 *
 * @module
 */
import type { gateway } from "@ebonypath/protocol";
import { usedMb } from "./capacity.ts";
import { loadBenefit } from "./load_benefit.ts";
import * as types from "./load_planner_types.ts";

/** Share of a server's slots that running requests of one model may use. */
const TARGET_SLOT_USE = 0.4;
/** Arrival rate from which a model is kept on two servers, per second. */
const TWO_REPLICAS_PER_SECOND = 1;
/**
 * Arrival rate from which one replica of a model is kept even without waiting
 * requests, per second.
 */
const KEEP_PER_SECOND = 0.5;
/**
 * Shortest time that a model stays loaded, in milliseconds. Within it the entry
 * hosts learn of the load, send requests and report that they run.
 */
const MIN_RESIDENCE_MS = 1_000;
/** Expected remaining time of the requests that an unload waits for, in ms. */
const REMAINING_RUN_MS = 3_000;
/**
 * Lateness of a request from which a model with running requests is evicted for
 * it, in milliseconds. An unload that waits for running requests blocks all
 * other orders to its server, so it is better to wait for an idle model first.
 */
const EVICT_RUNNING_LATE_MS = 2_500;
/**
 * Largest recency term in the cost of an eviction, in milliseconds. It is lower
 * than the cost of waiting for running requests.
 */
const RECENCY_MS = 1_000;

/** Most adapter loads in progress on one server. */
const MAX_PENDING_ADAPTERS = 4;

/** A model that may be evicted, and the cost of its eviction. */
type Victim = {
  readonly name: string;
  readonly isRunning: boolean;
  readonly costMs: number;
};

/** A server that could load a model, and the cost of the load. */
type LoadOption = {
  readonly server: types.PlannerServer;
  readonly source: types.WeightSource;
  readonly loadMs: number;
  /** Model to unload first if the server has too little free memory. */
  readonly victim: string | undefined;
  readonly costMs: number;
};

/**
 * Plans the orders to send now: at most one load or unload of a model for each
 * server, and loads or unloads of adapters in addition. Tells which models are
 * about to be loaded, too: also those for which another one is unloaded first,
 * or whose server is still busy.
 *
 * @example
 * ```ts
 * const { orders } = planRound(input);
 * for (const order of orders) executor.execute(server, order);
 * ```
 */
export function planRound(input: types.PlannerInput): types.PlannedRound {
  const round = new PlanningRound(input);
  const orders = round.plan();
  return { orders, planned: round.planned };
}

class PlanningRound {
  /** Models for which a server has been chosen in this round. */
  readonly planned = new Set<string>();
  readonly #input: types.PlannerInput;
  readonly #models: ReadonlyMap<string, gateway.Model>;
  readonly #largestAdapterMb: number;
  /** Demand by model, including the demand for its adapters. */
  readonly #demand: readonly types.AggregateDemand[];
  readonly #demandByModel: ReadonlyMap<string, types.AggregateDemand>;
  /** Demand of resumed streams, by model and software version. */
  readonly #resumptions: readonly types.AggregateDemand[];
  /** Servers with an order of this round, or reserved for a load. */
  readonly #assigned = new Set<string>();
  /** Models with waiting requests. */
  readonly #requested: ReadonlySet<string>;
  /** Models on servers that are about to leave. */
  readonly #leavingModels: ReadonlySet<string>;
  /** Number of usable servers that hold or load each model. */
  readonly #replicas = new Map<string, number>();
  /** Number of adapter loads planned in this round, by server. */
  readonly #addedAdapters = new Map<string, number>();
  /** Servers with an adapter unload planned in this round. */
  readonly #unloadingAdapter = new Set<string>();
  #canLoadFromStore: boolean;

  constructor(input: types.PlannerInput) {
    this.#input = input;
    this.#canLoadFromStore = input.canLoadFromStore;
    this.#models = new Map(
      input.engine.models.map((model) => [model.name, model]),
    );
    this.#largestAdapterMb = Math.max(
      0,
      ...input.engine.models.map((model) => model.adapterMb),
    );
    this.#demand = mergeAdapters(input.demand);
    this.#resumptions = mergeVersions(input.demand);
    this.#demandByModel = new Map(
      this.#demand.map((demand) => [demand.model, demand]),
    );
    this.#requested = new Set(
      this.#demand.filter(hasWaiting).map(({ model }) => model),
    );
    this.#leavingModels = new Set(
      input.servers.filter(({ isLeaving }) => isLeaving).flatMap(modelNames),
    );
    for (const server of input.servers.filter(({ isUsable }) => isUsable)) {
      for (const name of modelNames(server)) {
        this.#replicas.set(name, (this.#replicas.get(name) ?? 0) + 1);
      }
    }
  }

  plan(): types.ModelOrder[] {
    const adapters = this.#planAdapters();
    const resumed = this.#resumptions.filter(hasWaiting)
      .filter((demand) => !this.#isHeldAtVersion(demand))
      .map((demand) => this.#planLoad(demand));
    const missing = this.#demandAtAnyVersion()
      .filter((demand) => hasWaiting(demand) || this.#isLosing(demand))
      .filter(({ model }) => this.#replicaCount(model) === 0);
    const short = this.#demand.filter((demand) => this.#isShort(demand));
    const loads = [...this.#sortByBenefit(missing), ...short]
      .map((demand) => this.#planLoad(demand));
    return [
      ...adapters,
      ...[...resumed, ...loads].filter((order) => order !== undefined),
    ];
  }

  /** Whether a model is used steadily at a server that is about to leave. */
  #isLosing(demand: types.AggregateDemand): boolean {
    return this.#leavingModels.has(demand.model) &&
      this.#targetReplicas(demand) > 0;
  }

  #demandAtAnyVersion(): readonly types.AggregateDemand[] {
    return this.#resumptions.length === 0
      ? this.#demand
      : mergeAdapters(this.#input.demand.filter(isForAnyVersion));
  }

  /** Whether a server that may continue the streams has their model soon. */
  #isHeldAtVersion(demand: types.AggregateDemand): boolean {
    return this.#input.servers.some((server) =>
      server.isUsable && mayServe(server, demand) &&
      modelNames(server).includes(demand.model)
    );
  }

  /** Sorts by the benefit of a load in relation to its cost, highest first. */
  #sortByBenefit(
    demands: readonly types.AggregateDemand[],
  ): types.AggregateDemand[] {
    return demands
      .map((demand) => ({ demand, rate: this.#benefitRate(demand) }))
      .sort((one, other) => other.rate - one.rate)
      .map(({ demand }) => demand);
  }

  #benefitRate(demand: types.AggregateDemand): number {
    const costMs = this.#bestOption(demand)?.costMs;
    return costMs === undefined ? 0 : loadBenefit(demand, costMs) / costMs;
  }

  /** Whether a loaded model has fewer replicas than its demand requires. */
  #isShort(demand: types.AggregateDemand): boolean {
    const replicas = this.#replicaCount(demand.model);
    return replicas > 0 && replicas < this.#targetReplicas(demand);
  }

  #targetReplicas(
    { arrivalsPerSecond, concurrency }: types.AggregateDemand,
  ): number {
    const { slots } = this.#input.engine;
    const byConcurrency = Math.ceil(
      concurrency / Math.max(1, slots * TARGET_SLOT_USE),
    );
    const byArrivals = arrivalsPerSecond >= TWO_REPLICAS_PER_SECOND
      ? 2
      : arrivalsPerSecond >= KEEP_PER_SECOND
      ? 1
      : 0;
    return Math.max(byConcurrency > 1 ? byConcurrency : 0, byArrivals);
  }

  #replicaCount(model: string): number {
    return this.#replicas.get(model) ?? 0;
  }

  #planLoad(demand: types.AggregateDemand): types.ModelOrder | undefined {
    const best = this.#bestOption(demand);
    if (best === undefined) return undefined;
    this.#assigned.add(best.server.id);
    this.planned.add(demand.model);
    // A server that is busy now may still have the model ready before an idle
    // one. It is reserved without an order.
    return best.server.busyMs > 0
      ? undefined
      : this.#createOrder(best, demand.model);
  }

  #bestOption(demand: types.AggregateDemand): LoadOption | undefined {
    const model = this.#models.get(demand.model);
    if (model === undefined) return undefined;
    const isRequested = hasWaiting(demand);
    const mayEvictRunning = minSlack(demand) < -EVICT_RUNNING_LATE_MS;
    return this.#input.servers
      .filter((server) => mayServe(server, demand))
      .filter((server) => this.#canLoad(server, demand.model))
      .map((server) =>
        this.#loadOption(server, model, isRequested, mayEvictRunning)
      )
      .filter((option) => option !== undefined)
      .sort((one, other) => one.costMs - other.costMs)[0];
  }

  #createOrder(option: LoadOption, model: string): types.ModelOrder {
    const { loadMs, server, source, victim } = option;
    if (victim !== undefined) {
      return { kind: "unload", server: server.id, model: victim };
    }
    this.#replicas.set(model, this.#replicaCount(model) + 1);
    if (source === "store") this.#canLoadFromStore = false;
    return {
      kind: "load",
      server: server.id,
      model,
      source,
      expectedMs: loadMs,
    };
  }

  #canLoad(server: types.PlannerServer, model: string): boolean {
    return server.isUsable && !this.#assigned.has(server.id) &&
      !modelNames(server).includes(model);
  }

  #loadOption(
    server: types.PlannerServer,
    model: gateway.Model,
    isRequested: boolean,
    mayEvictRunning: boolean,
  ): LoadOption | undefined {
    const source = weightSource(server, model.name);
    if (source === "store" && !this.#canLoadFromStore) return undefined;
    const loadMs = loadDuration(model, source);
    const readyMs = server.busyMs + loadMs;
    if (this.#freeMb(server) >= model.weightsMb) {
      return { server, source, loadMs, victim: undefined, costMs: readyMs };
    }
    const victim = this.#cheapestVictim(server, isRequested);
    if (victim === undefined) return undefined;
    if (victim.isRunning && !mayEvictRunning) return undefined;
    const costMs = readyMs + victim.costMs;
    return { server, source, loadMs, victim: victim.name, costMs };
  }

  #freeMb(server: types.PlannerServer): number {
    const addedMb = (this.#addedAdapters.get(server.id) ?? 0) *
      this.#largestAdapterMb;
    const loadingMb = server.loading !== undefined &&
        !server.models.some(({ name }) => name === server.loading)
      ? this.#models.get(server.loading)?.weightsMb ?? 0
      : 0;
    const used = usedMb(this.#models, server) + addedMb + loadingMb;
    return this.#input.engine.weightsMb - used;
  }

  #adapterMb(model: string): number {
    return this.#models.get(model)?.adapterMb ?? 0;
  }

  /** The model with the cheapest eviction, if any may be evicted. */
  #cheapestVictim(
    server: types.PlannerServer,
    isRequested: boolean,
  ): Victim | undefined {
    return server.models
      .filter(({ name }) => this.#mayEvict(server, name, isRequested))
      .map(({ name }) => ({
        name,
        isRunning: (server.running.get(name) ?? 0) > 0,
        costMs: this.#evictionCost(server, name),
      }))
      .sort((one, other) => one.costMs - other.costMs)[0];
  }

  /** @param isRequested whether requests wait for the model to be loaded */
  #mayEvict(
    server: types.PlannerServer,
    model: string,
    isRequested: boolean,
  ): boolean {
    const { loadedAt, now } = this.#input;
    const age = now - (loadedAt.get(`${server.id} ${model}`) ?? -Infinity);
    if (age < MIN_RESIDENCE_MS) return false;
    const replicas = this.#replicaCount(model);
    if (this.#requested.has(model) && replicas <= 1) return false;
    const demand = this.#demandByModel.get(model);
    if (demand !== undefined && replicas <= this.#targetReplicas(demand)) {
      return false;
    }
    // An additional replica of one model doesn't evict the last replica of
    // another one that still has arrivals.
    return isRequested || replicas > 1 ||
      (demand?.arrivalsPerSecond ?? 0) === 0;
  }

  /**
   * Cost of an eviction, in milliseconds: the wait for running requests, the
   * expected waits for a reload of the model, and a term for its recent use.
   */
  #evictionCost(server: types.PlannerServer, name: string): number {
    const { lastRequestedAt, now } = this.#input;
    const running = server.running.get(name) ?? 0;
    const runMs = running > 0 ? REMAINING_RUN_MS : 0;
    const demand = this.#demandByModel.get(name);
    const hasOtherReplica = this.#replicaCount(name) > 1;
    const model = this.#models.get(name);
    const reloadMs = hasOtherReplica || model === undefined
      ? 0
      : model.diskLoadMs;
    const idleMs = now - (lastRequestedAt.get(name) ?? -Infinity);
    // Among models without recent demand, the least recently used is evicted.
    const recency = RECENCY_MS / (1 + Math.min(idleMs, 1e6) / 1_000);
    return runMs + reloadMs * (demand?.arrivalsPerSecond ?? 0) + recency;
  }

  #planAdapters(): types.ModelOrder[] {
    return this.#input.demand
      .filter((demand) => demand.adapter !== undefined && hasWaiting(demand))
      .sort((one, other) => minSlack(one) - minSlack(other))
      .map((demand) => this.#planAdapter(demand))
      .filter((order) => order !== undefined);
  }

  #planAdapter(
    demand: types.AggregateDemand,
  ): types.ModelOrder | undefined {
    const { adapter, model } = demand;
    if (adapter === undefined) return undefined;
    const key = types.adapterKey(model, adapter);
    const candidates = this.#input.servers.filter((server) =>
      server.isUsable && mayServe(server, demand) &&
      heldModel(server, model) !== undefined
    );
    if (candidates.some((server) => hasAdapter(server, key))) return undefined;
    // A server refuses adapter orders while it loads a model.
    const server = candidates
      .filter(({ busyMs }) => busyMs === 0)
      .filter((one) => this.#pendingAdapterCount(one) < MAX_PENDING_ADAPTERS)
      .sort((one, other) =>
        this.#adapterCount(one) - this.#adapterCount(other)
      )[0];
    return server && this.#createAdapterOrder(server, model, adapter);
  }

  /** Adapter loads in progress on a server, including those of this round. */
  #pendingAdapterCount(server: types.PlannerServer): number {
    return server.pendingAdapters.size +
      (this.#addedAdapters.get(server.id) ?? 0);
  }

  /** Adapters that take up capacity, including those being unloaded. */
  #adapterCount({ id, models, pendingAdapters }: types.PlannerServer): number {
    const held = models.reduce((sum, { adapters }) => sum + adapters.length, 0);
    return held + pendingAdapters.size + (this.#addedAdapters.get(id) ?? 0);
  }

  #createAdapterOrder(
    server: types.PlannerServer,
    model: string,
    adapter: string,
  ): types.ModelOrder | undefined {
    const hasCapacity =
      this.#adapterCount(server) < this.#input.engine.adapterPlaces &&
      this.#freeMb(server) >= this.#adapterMb(model);
    if (hasCapacity) {
      this.#addedAdapters.set(
        server.id,
        (this.#addedAdapters.get(server.id) ?? 0) + 1,
      );
      return { kind: "load-adapter", server: server.id, model, adapter };
    }
    if (
      server.unloadingAdapters.size > 0 || this.#unloadingAdapter.has(server.id)
    ) {
      return undefined;
    }
    const victim = this.#adapterVictim(server);
    if (victim === undefined) return undefined;
    this.#unloadingAdapter.add(server.id);
    return { kind: "unload-adapter", server: server.id, ...victim };
  }

  /** The least recently requested adapter that no request runs or waits for. */
  #adapterVictim(
    server: types.PlannerServer,
  ): { readonly model: string; readonly adapter: string } | undefined {
    const { lastRequestedAt } = this.#input;
    const requested = new Set(
      this.#input.demand.filter(hasWaiting)
        .map(({ adapter, model }) => types.adapterKey(model, adapter ?? "")),
    );
    return server.models
      .flatMap(({ adapters, name }) =>
        adapters.map((adapter) => ({
          model: name,
          adapter,
          key: types.adapterKey(name, adapter),
        }))
      )
      .filter(({ key }) => !requested.has(key) && !server.running.get(key))
      .sort((one, other) =>
        (lastRequestedAt.get(one.key) ?? 0) -
        (lastRequestedAt.get(other.key) ?? 0)
      )
      .map(({ adapter, model }) => ({ model, adapter }))[0];
  }
}

/** Whether a server has the software version that requests need. */
function mayServe(
  server: types.PlannerServer,
  { softwareVersion }: types.AggregateDemand,
): boolean {
  return softwareVersion === undefined ||
    softwareVersion === server.softwareVersion;
}

function isForAnyVersion(
  { softwareVersion }: types.AggregateDemand,
): boolean {
  return softwareVersion === undefined;
}

function hasWaiting({ slacksMs }: types.AggregateDemand): boolean {
  return slacksMs.length > 0;
}

function minSlack({ slacksMs }: types.AggregateDemand): number {
  return Math.min(Infinity, ...slacksMs);
}

/**
 * The demand of resumed streams for models, with that for their adapters: one
 * entry for each model and software version.
 */
function mergeVersions(
  demands: readonly types.AggregateDemand[],
): types.AggregateDemand[] {
  const versions = new Set(
    demands.map(({ softwareVersion }) => softwareVersion),
  );
  versions.delete(undefined);
  return [...versions].flatMap((softwareVersion) =>
    mergeAdapters(
      demands.filter((demand) => demand.softwareVersion === softwareVersion),
    ).map((demand) => ({ ...demand, softwareVersion }))
  );
}

/**
 * Adds the demand for adapters to the demand for their models, at any version.
 *
 * @example
 * ```ts
 * mergeAdapters(demand).find(({ model }) => model === "advice");
 * ```
 */
export function mergeAdapters(
  demands: readonly types.AggregateDemand[],
): types.AggregateDemand[] {
  const merged = new Map<string, types.AggregateDemand>();
  for (const demand of demands) {
    const previous = merged.get(demand.model);
    merged.set(
      demand.model,
      previous === undefined
        ? { ...demand, adapter: undefined, softwareVersion: undefined }
        : {
          model: demand.model,
          adapter: undefined,
          softwareVersion: undefined,
          slacksMs: [...previous.slacksMs, ...demand.slacksMs],
          returningMs: [...previous.returningMs, ...demand.returningMs],
          arrivalsPerSecond: previous.arrivalsPerSecond +
            demand.arrivalsPerSecond,
          concurrency: previous.concurrency + demand.concurrency,
        },
    );
  }
  return [...merged.values()];
}

function heldModel(
  server: types.PlannerServer,
  model: string,
): gateway.LoadedModel | undefined {
  return server.models.find(({ name }) => name === model);
}

/** Models that a server holds, and the one that it is loading. */
function modelNames({ loading, models }: types.PlannerServer): string[] {
  const names = models.map(({ name }) => name);
  return loading === undefined ? names : [...names, loading];
}

/** Whether a server holds an adapter or has been ordered to load it. */
function hasAdapter(
  { models, pendingAdapters }: types.PlannerServer,
  key: string,
): boolean {
  return pendingAdapters.has(key) ||
    models.some(({ adapters, name }) =>
      adapters.some((adapter) => types.adapterKey(name, adapter) === key)
    );
}

function weightSource(
  { inMemory, onDisk }: types.PlannerServer,
  model: string,
): types.WeightSource {
  if (inMemory.has(model)) return "memory";
  return onDisk.has(model) ? "disk" : "store";
}

function loadDuration(
  model: gateway.Model,
  source: types.WeightSource,
): number {
  switch (source) {
    case "memory":
      return model.memoryLoadMs;
    case "disk":
      return model.diskLoadMs;
    case "store":
      return model.storeLoadMs;
  }
}
