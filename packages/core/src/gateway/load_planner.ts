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
import { CopyNeeds } from "./copy_needs.ts";
import * as evictions from "./evictions.ts";
import { loadBenefit } from "./load_benefit.ts";
import * as loadDemand from "./load_demand.ts";
import * as modelDemand from "./model_demand.ts";
import * as types from "./load_planner_types.ts";

/**
 * Lateness of a request from which a model with running requests is evicted for
 * it, in milliseconds. An unload that waits for running requests blocks all
 * other orders to its server, so it is better to wait for an idle model first.
 */
const EVICT_RUNNING_LATE_MS = 2_500;
/**
 * Part of the servers that may load such models at once. The other ones load
 * what serves most requests.
 */
const MAX_UNSERVED_SHARE = 0.25;
/**
 * Cost of a store load at a server for each copy in demand on it that other
 * servers have as well, in milliseconds. It only decides between servers that
 * are equally good otherwise.
 */
const SPARE_COPY_MS = 10;

/**
 * Time for which requests wait for a server that has a copy of their model
 * before it is loaded from the store elsewhere, in milliseconds.
 */
const MAX_AT_HAND_WAIT_MS = 5_000;
/**
 * Requests that a load from the store must serve, relative to the mean of the
 * loads in progress, to begin beyond the store's bound. It delays them all by a
 * part of their time.
 */
const OVERLOAD_FACTOR = 2;
/** Least such requests. */
const MIN_OVERLOAD_REQUESTS = 4;
/**
 * Probability that the only server of a model is lost while a spare replica
 * would stay loaded. A server crash every few minutes is about that.
 */
const LOSS_PROBABILITY = 0.05;

/** Most adapter loads in progress on one server. */
const MAX_PENDING_ADAPTERS = 4;

/**
 * Time after a request for which its caller may not have been told yet whether
 * to wait or to come back, in milliseconds.
 */
const JUST_ASKED_MS = 2_000;

/** A server that could load a model, and the cost of the load. */
type LoadOption = {
  readonly kind: "option";
  readonly server: types.PlannerServer;
  readonly source: types.WeightSource;
  readonly loadMs: number;
  /** Model to unload first if the server has too little free memory. */
  readonly victim: string | undefined;
  readonly costMs: number;
};

/** Why a server can't load a model. */
type NoOption = { readonly kind: "none"; readonly obstacle: types.Obstacle };

/** Obstacles from the least to the most particular one. */
const OBSTACLES: readonly types.Obstacle[] = [
  "out-of-turn",
  "no-free-server",
  "store-bound",
  "copy-elsewhere",
  "no-victim",
  "victims-run",
  "copies-needed",
  "server-busy",
];

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
  return { orders, planned: round.planned, obstacles: round.obstacles };
}

class PlanningRound {
  /** Models for which a server has been chosen in this round. */
  readonly planned = new Set<string>();
  /** Why models have no order, though a server was sought for them. */
  readonly obstacles = new Map<string, types.Obstacle>();
  readonly #input: types.PlannerInput;
  readonly #models: ReadonlyMap<string, gateway.Model>;
  readonly #largestAdapterMb: number;
  readonly #demand: modelDemand.ModelDemand;
  readonly #evictions: evictions.Evictions;
  /** Demand of resumed streams, by model and software version. */
  readonly #resumptions: readonly types.AggregateDemand[];
  /** Servers with an order of this round, or reserved for a load. */
  readonly #assigned = new Set<string>();
  /** Models on servers that are about to leave. */
  readonly #leavingModels: ReadonlySet<string>;
  /** Number of adapter loads planned in this round, by server. */
  readonly #addedAdapters = new Map<string, number>();
  /** Servers with an adapter unload planned in this round. */
  readonly #unloadingAdapter = new Set<string>();
  readonly #copyNeeds: CopyNeeds;
  #canLoadFromStore: boolean;
  /** Models that are loaded by orders of this round. */
  readonly #ordered = new Set<string>();
  /** Whether a model is missing that no server has at hand. */
  #isStoreInDemand = false;
  /** Requests from which a load may begin beyond the store's bound. */
  #overloadRequests: number;

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
    this.#demand = new modelDemand.ModelDemand(input);
    this.#evictions = new evictions.Evictions(input, this.#demand);
    this.#resumptions = loadDemand.mergeVersions(input.demand);
    this.#leavingModels = new Set(
      input.servers.filter(({ isLeaving }) => isLeaving).flatMap(
        types.modelNames,
      ),
    );
    this.#overloadRequests = input.canOverloadStore
      ? this.#meanLoadingRequests() * OVERLOAD_FACTOR
      : Infinity;
    this.#copyNeeds = new CopyNeeds(input.servers, this.#demand.all);
  }

  plan(): types.ModelOrder[] {
    const adapters = this.#planAdapters();
    const resumed = this.#resumptions.filter(loadDemand.hasWaiting)
      .filter((demand) => !this.#isHeldAtVersion(demand))
      .map((demand) => this.#planLoad(demand));
    const missing = this.#demandAtAnyVersion()
      .filter((demand) =>
        loadDemand.hasWaiting(demand) || this.#isLosing(demand) ||
        this.#isDue(demand)
      )
      .filter(({ model }) => this.#isMissing(model));
    this.#isStoreInDemand = missing.some(({ model }) =>
      !this.#copyNeeds.isAtHand(model)
    );
    for (const { model } of missing) this.obstacles.set(model, "out-of-turn");
    const unserved = this.#planUnserved(missing);
    const others = missing.filter(({ model }) => !this.planned.has(model))
      .filter((demand) =>
        loadDemand.hasWaiting(demand) || this.#isLosing(demand)
      );
    const short = this.#demand.all.filter((demand) => this.#isShort(demand));
    const spares = short.filter(({ model }) =>
      this.#demand.replicaCount(model) === 1 &&
      this.#copyNeeds.isElsewhere(model)
    );
    const more = short.filter((demand) => !spares.includes(demand));
    const loads = [...this.#sortByBenefit([...others, ...spares]), ...more]
      .map((demand) => this.#planLoad(demand));
    return [
      ...adapters,
      ...[...resumed, ...unserved, ...loads]
        .filter((order) => order !== undefined),
    ];
  }

  /**
   * Plans loads of the models that go first, the oldest ones first, as many as
   * there are servers for them. One that no server can load now leaves its turn
   * to the next.
   */
  #planUnserved(
    missing: readonly types.AggregateDemand[],
  ): (types.ModelOrder | undefined)[] {
    const usable = this.#input.servers.filter(({ isUsable }) => isUsable);
    const loading = usable.filter((server) =>
      server.loading !== undefined && this.#demand.isUnserved(server.loading)
    );
    const servers = Math.ceil(usable.length * MAX_UNSERVED_SHARE) -
      loading.length;
    const plannedBefore = this.planned.size;
    const ageOf = ({ model }: types.AggregateDemand) =>
      this.#demand.unservedMs(model);
    return missing.filter((demand) => this.#isDue(demand))
      .sort((one, other) => ageOf(other) - ageOf(one))
      .map((demand) =>
        this.planned.size - plannedBefore < servers
          ? this.#planLoad(demand)
          : undefined
      );
  }

  /**
   * Whether a model goes before others: it was not served for long, and callers
   * wait for it, are to come back, or have just asked. A load for callers who
   * have left would be in vain.
   */
  #isDue(demand: types.AggregateDemand): boolean {
    return this.#demand.isUnserved(demand.model) &&
      (loadDemand.hasWaiting(demand) || this.#isJustAskedFor(demand.model));
  }

  /** @param key name of a model, or of an adapter with its model */
  #isJustAskedFor(key: string): boolean {
    const { lastRequestedAt, now } = this.#input;
    return now - (lastRequestedAt.get(key) ?? now) <= JUST_ASKED_MS;
  }

  /** Whether a model is used steadily at a server that is about to leave. */
  #isLosing(demand: types.AggregateDemand): boolean {
    return this.#leavingModels.has(demand.model) &&
      this.#demand.targetReplicas(demand) > 0;
  }

  #demandAtAnyVersion(): readonly types.AggregateDemand[] {
    return this.#resumptions.length === 0
      ? this.#demand.all
      : loadDemand.mergeAdapters(
        this.#input.demand.filter(loadDemand.isForAnyVersion),
      );
  }

  /** Whether a server that may continue the streams has their model soon. */
  #isHeldAtVersion(demand: types.AggregateDemand): boolean {
    return this.#input.servers.some((server) =>
      server.isUsable && loadDemand.mayServe(server, demand) &&
      types.modelNames(server).includes(demand.model)
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
    const best = this.#bestOption(demand);
    if (best.kind === "none") return 0;
    const { costMs } = best;
    const benefit = this.#isMissing(demand.model)
      ? loadBenefit(demand, costMs)
      : this.#spareBenefit(demand);
    return benefit / costMs;
  }

  /**
   * Benefit of a second replica: requests that would wait for another one if
   * the only server that holds the model were lost.
   */
  #spareBenefit({ arrivalsPerSecond, model }: types.AggregateDemand): number {
    const { diskLoadMs = 0 } = this.#models.get(model) ?? {};
    return LOSS_PROBABILITY * arrivalsPerSecond * diskLoadMs / 1_000;
  }

  /** Whether no server holds a model or will soon. */
  #isMissing(model: string): boolean {
    const { diskLoadMs = 0 } = this.#models.get(model) ?? {};
    return this.#demand.replicaCount(model) === 0 ||
      !this.#ordered.has(model) &&
        !this.#input.servers.some((server) =>
          server.isUsable && (heldModel(server, model) !== undefined ||
            server.loading === model && server.busyMs <= diskLoadMs)
        );
  }

  /** Mean number of requests for the models that are being loaded. */
  #meanLoadingRequests(): number {
    const loading = this.#input.servers.map((server) => server.loading)
      .filter((model) => model !== undefined);
    const requests = loading.map((model) => this.#demand.requestsFor(model));
    const sum = requests.reduce((total, count) => total + count, 0);
    return Math.max(
      MIN_OVERLOAD_REQUESTS / OVERLOAD_FACTOR,
      sum / Math.max(1, loading.length),
    );
  }

  /** Whether a loaded model has fewer replicas than its demand requires. */
  #isShort(demand: types.AggregateDemand): boolean {
    const replicas = this.#demand.replicaCount(demand.model);
    return replicas > 0 && replicas < this.#demand.targetReplicas(demand);
  }

  #planLoad(demand: types.AggregateDemand): types.ModelOrder | undefined {
    const best = this.#bestOption(demand);
    if (best.kind === "none") {
      this.obstacles.set(demand.model, best.obstacle);
      return undefined;
    }
    this.#assigned.add(best.server.id);
    this.planned.add(demand.model);
    // A server that is busy now may still have the model ready before an idle
    // one. It is reserved without an order.
    if (best.server.busyMs > 0) {
      this.obstacles.set(demand.model, "server-busy");
      return undefined;
    }
    this.obstacles.delete(demand.model);
    return this.#createOrder(best, demand.model);
  }

  #bestOption(demand: types.AggregateDemand): LoadOption | NoOption {
    const model = this.#models.get(demand.model);
    if (model === undefined) return none("no-free-server");
    const mayEvictRunning =
      loadDemand.minWaitingSlack(demand) < -EVICT_RUNNING_LATE_MS;
    const results = this.#input.servers
      .filter((server) => loadDemand.mayServe(server, demand))
      .filter((server) => this.#canLoad(server, demand.model))
      .map((server) => this.#loadOption(server, model, demand, mayEvictRunning))
      .map((result) =>
        result.kind === "none" ? result : this.#addBlockedCost(result, demand)
      );
    return results.filter((result) => result.kind === "option")
      .sort((one, other) => one.costMs - other.costMs)[0] ??
      mostParticular(results.filter((result) => result.kind === "none"));
  }

  /**
   * Adds the waits that a load from the store causes, because its server can't
   * load from its disk meanwhile. There is no option where more requests would
   * wait for that disk than the load serves.
   */
  #addBlockedCost(
    option: LoadOption,
    demand: types.AggregateDemand,
  ): LoadOption | NoOption {
    const { costMs, loadMs, server, source } = option;
    if (source !== "store") return option;
    const blocked = this.#copyNeeds.blockedRequests(server, loadMs);
    const mayBlock = this.#demand.isUnserved(demand.model) ||
      blocked <= loadBenefit(demand, costMs);
    if (!mayBlock) return none("copies-needed");
    const spare = this.#copyNeeds.neededCopies(server) * SPARE_COPY_MS;
    return { ...option, costMs: costMs + blocked * loadMs + spare };
  }

  #createOrder(option: LoadOption, model: string): types.ModelOrder {
    const { loadMs, server, source, victim } = option;
    if (victim !== undefined) {
      return { kind: "unload", server: server.id, model: victim };
    }
    this.#demand.addReplica(model);
    this.#ordered.add(model);
    if (source === "store") {
      this.#canLoadFromStore = false;
      this.#overloadRequests = Infinity;
    }
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
      !types.modelNames(server).includes(model);
  }

  #loadOption(
    server: types.PlannerServer,
    model: gateway.Model,
    demand: types.AggregateDemand,
    mayEvictRunning: boolean,
  ): LoadOption | NoOption {
    const isRequested = loadDemand.hasWaiting(demand);
    const source = weightSource(server, model.name);
    const storeObstacle = source === "store"
      ? this.#storeObstacle(demand)
      : undefined;
    if (storeObstacle !== undefined) return none(storeObstacle);
    const loadMs = loadDuration(model, source);
    const readyMs = server.busyMs + loadMs;
    if (this.#freeMb(server) >= model.weightsMb) {
      const victim = undefined;
      return {
        kind: "option",
        server,
        source,
        loadMs,
        victim,
        costMs: readyMs,
      };
    }
    const victim = this.#evictions.cheapestVictim(
      server,
      model.name,
      isRequested,
    );
    if (victim === undefined) return none("no-victim");
    if (victim.isRunning && !mayEvictRunning) return none("victims-run");
    const costMs = readyMs + victim.costMs;
    const { name } = victim;
    return { kind: "option", server, source, loadMs, victim: name, costMs };
  }

  /**
   * Why no load from the store may begin, if none may. One under way isn't
   * doubled, and one of a model that a server has at hand waits for that server.
   * Additional replicas come from the store only while nothing else is needed
   * from it. Neither holds for streams that only servers of one version can
   * continue.
   */
  #storeObstacle(
    { model, softwareVersion }: types.AggregateDemand,
  ): types.Obstacle | undefined {
    const isBound = !this.#canLoadFromStore &&
      this.#demand.requestsFor(model) < this.#overloadRequests;
    if (isBound) return "store-bound";
    if (softwareVersion !== undefined) return undefined;
    if (this.#demand.replicaCount(model) > 0) {
      const isAllowed = !this.#isStoreInDemand && !this.#isMissing(model);
      return isAllowed ? undefined : "store-bound";
    }
    const isAllowed = !this.#copyNeeds.isAtHand(model) ||
      this.#demand.unservedMs(model) >= MAX_AT_HAND_WAIT_MS;
    return isAllowed ? undefined : "copy-elsewhere";
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

  #planAdapters(): types.ModelOrder[] {
    return this.#input.demand
      .filter((demand) =>
        demand.adapter !== undefined &&
        (loadDemand.hasWaiting(demand) || this.#isAdapterDue(demand))
      )
      .sort((one, other) =>
        loadDemand.minSlack(one) - loadDemand.minSlack(other)
      )
      .map((demand) => this.#planAdapter(demand))
      .filter((order) => order !== undefined);
  }

  /** Whether an adapter was not served for long, and a caller has just asked. */
  #isAdapterDue({ adapter, model }: types.AggregateDemand): boolean {
    const key = types.demandKey(model, adapter);
    return (this.#input.unservedMs.get(key) ?? 0) >=
        modelDemand.MAX_UNSERVED_MS && this.#isJustAskedFor(key);
  }

  #planAdapter(
    demand: types.AggregateDemand,
  ): types.ModelOrder | undefined {
    const { adapter, model } = demand;
    if (adapter === undefined) return undefined;
    const key = types.adapterKey(model, adapter);
    const candidates = this.#input.servers.filter((server) =>
      server.isUsable && loadDemand.mayServe(server, demand) &&
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
      this.#input.demand.filter(loadDemand.hasWaiting)
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

function none(obstacle: types.Obstacle): NoOption {
  return { kind: "none", obstacle };
}

/** What keeps the server from a load that is closest to one. */
function mostParticular(results: readonly NoOption[]): NoOption {
  const rank = Math.max(
    -1,
    ...results.map(({ obstacle }) => OBSTACLES.indexOf(obstacle)),
  );
  return none(OBSTACLES[rank] ?? "no-free-server");
}

function heldModel(
  server: types.PlannerServer,
  model: string,
): gateway.LoadedModel | undefined {
  return server.models.find(({ name }) => name === model);
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
