/**
 * Which server loads or drops which model next.
 *
 * Answers loads with many more models than places: every model that requests
 * wait for gets a place soon, at the server that can have it first, and models
 * that are wanted all the time keep enough places.
 *
 * @module
 */
import type { gateway } from "@ebonypath/protocol";
import { loadBenefit } from "./load_benefit.ts";
import * as types from "./load_planner_types.ts";
import { usedMb } from "./capacity.ts";

/** Part of a server's slots that running requests of one model may fill. */
const TARGET_FILL = 0.4;
/** Arrivals per second from which a model is kept on two servers. */
const SPARE_COPY_PER_SECOND = 1;
/** Arrivals per second from which a model keeps a place without waiting. */
const KEEP_PER_SECOND = 0.5;
/**
 * Time that a model stays after its load: entry hosts hear of it, send, and
 * report what runs within it. In milliseconds.
 */
const MIN_RESIDENCE_MS = 1_000;
/** Expected rest of the runs that an unload has to wait for, in ms. */
const RUN_REST_MS = 3_000;
/**
 * Lateness from which a model is dropped although requests run on it. An unload
 * that waits for its runs keeps the server from any other order, so that it is
 * better to wait for a model on which nothing runs. In milliseconds.
 */
const DROP_RUNNING_MS = 2_500;
/**
 * Weight of recency among models that are dropped; below the cost of waiting
 * for a run, in milliseconds.
 */
const RECENCY_MS = 1_000;

/** Adapters that may be on their way to one server at once. */
const PENDING_ADAPTERS = 4;

/** A model that may be dropped, and what that costs. */
type Victim = {
  readonly name: string;
  readonly isRunning: boolean;
  readonly costMs: number;
};

/** A way to bring a model to a server. */
type Option = {
  readonly server: types.PlannerServer;
  readonly source: types.WeightSource;
  readonly loadMs: number;
  /** Model to drop first, if there is no room. */
  readonly victim: string | undefined;
  readonly costMs: number;
};

/**
 * Plans the orders to give now: at most one load or unload for each server,
 * and adapters beside it.
 *
 * @example
 * ```ts
 * for (const order of planOrders(scene)) desk.give(order);
 * ```
 */
export function planOrders(scene: types.PlannerInput): types.ModelOrder[] {
  return new Round(scene).plan();
}

class Round {
  readonly #scene: types.PlannerInput;
  readonly #models: ReadonlyMap<string, gateway.Model>;
  readonly #needs: readonly types.AggregateDemand[];
  /** Servers that this round has an order for, or keeps for a model. */
  readonly #taken = new Set<string>();
  readonly #waiting: ReadonlySet<string>;
  readonly #copies = new Map<string, number>();
  /** Adapters that this round adds, by server. */
  readonly #added = new Map<string, number>();
  /** Servers that this round tells to drop an adapter. */
  readonly #dropping = new Set<string>();
  #isStoreOpen: boolean;

  constructor(scene: types.PlannerInput) {
    this.#scene = scene;
    this.#isStoreOpen = scene.canLoadFromStore;
    this.#models = new Map(
      scene.engine.models.map((model) => [model.name, model]),
    );
    this.#needs = mergeAdapters(scene.demand);
    this.#waiting = new Set(
      this.#needs.filter(isWaitedFor).map(({ model }) => model),
    );
    for (const server of scene.servers.filter(({ isUsable }) => isUsable)) {
      for (const name of namesOn(server)) {
        this.#copies.set(name, (this.#copies.get(name) ?? 0) + 1);
      }
    }
  }

  plan(): types.ModelOrder[] {
    const adapters = this.#planAdapters();
    const wanted = this.#needs.filter(isWaitedFor)
      .filter(({ model }) => this.#copiesOf(model) === 0);
    const short = this.#needs.filter((need) => this.#isShort(need));
    const loads = [...this.#byGain(wanted), ...short]
      .map((need) => this.#planLoad(need));
    return [...adapters, ...loads.filter((order) => order !== undefined)];
  }

  /** Needs in the order of what a load brings for the time that it takes. */
  #byGain(needs: readonly types.AggregateDemand[]): types.AggregateDemand[] {
    return needs
      .map((need) => ({ need, rate: this.#gainRate(need) }))
      .sort((one, other) => other.rate - one.rate)
      .map(({ need }) => need);
  }

  #gainRate(need: types.AggregateDemand): number {
    const costMs = this.#bestOption(need)?.costMs;
    return costMs === undefined ? 0 : loadBenefit(need, costMs) / costMs;
  }

  /** Whether a model that is wanted all the time has too few places. */
  #isShort(need: types.AggregateDemand): boolean {
    const copies = this.#copiesOf(need.model);
    return copies > 0 && copies < this.#desiredCopies(need);
  }

  #desiredCopies(
    { concurrency, arrivalsPerSecond: perSecond }: types.AggregateDemand,
  ): number {
    const { slots } = this.#scene.engine;
    const byLoad = Math.ceil(concurrency / Math.max(1, slots * TARGET_FILL));
    const least = perSecond >= SPARE_COPY_PER_SECOND
      ? 2
      : perSecond >= KEEP_PER_SECOND
      ? 1
      : 0;
    return Math.max(byLoad > 1 ? byLoad : 0, least);
  }

  #copiesOf(model: string): number {
    return this.#copies.get(model) ?? 0;
  }

  #planLoad(need: types.AggregateDemand): types.ModelOrder | undefined {
    const best = this.#bestOption(need);
    if (best === undefined) return undefined;
    this.#taken.add(best.server.id);
    // A server that is ready soon may be better than one that is idle now.
    return best.server.busyMs > 0 ? undefined : this.#orderOf(best, need.model);
  }

  #bestOption(need: types.AggregateDemand): Option | undefined {
    const model = this.#models.get(need.model);
    if (model === undefined) return undefined;
    const isWanted = isWaitedFor(need);
    const mayInterrupt = firstSlack(need) < -DROP_RUNNING_MS;
    return this.#scene.servers
      .filter((server) => this.#canTake(server, need.model))
      .map((server) => this.#optionAt(server, model, isWanted, mayInterrupt))
      .filter((option) => option !== undefined)
      .sort((one, other) => one.costMs - other.costMs)[0];
  }

  #orderOf(option: Option, model: string): types.ModelOrder {
    const { loadMs, server, source, victim } = option;
    if (victim !== undefined) {
      return { kind: "unload", server: server.id, model: victim };
    }
    this.#copies.set(model, this.#copiesOf(model) + 1);
    if (source === "store") this.#isStoreOpen = false;
    return {
      kind: "load",
      server: server.id,
      model,
      source,
      expectedMs: loadMs,
    };
  }

  #canTake(server: types.PlannerServer, model: string): boolean {
    return server.isUsable && !this.#taken.has(server.id) &&
      !namesOn(server).includes(model);
  }

  #optionAt(
    server: types.PlannerServer,
    model: gateway.Model,
    isWanted: boolean,
    mayInterrupt: boolean,
  ): Option | undefined {
    const source = sourceOf(server, model.name);
    if (source === "store" && !this.#isStoreOpen) return undefined;
    const loadMs = loadTime(model, source);
    const base = server.busyMs + loadMs;
    if (this.#freeMb(server) >= model.weightsMb) {
      return { server, source, loadMs, victim: undefined, costMs: base };
    }
    const victim = this.#victimOn(server, isWanted);
    if (victim === undefined) return undefined;
    if (victim.isRunning && !mayInterrupt) return undefined;
    const costMs = base + victim.costMs;
    return { server, source, loadMs, victim: victim.name, costMs };
  }

  #freeMb(server: types.PlannerServer): number {
    const added = (this.#added.get(server.id) ?? 0) * this.#largestAdapterMb;
    const loading = server.loading !== undefined &&
        !server.models.some(({ name }) => name === server.loading)
      ? this.#models.get(server.loading)?.weightsMb ?? 0
      : 0;
    const used = usedMb(this.#models, server) + added + loading;
    return this.#scene.engine.weightsMb - used;
  }

  get #largestAdapterMb(): number {
    return Math.max(
      0,
      ...this.#scene.engine.models.map((one) => one.adapterMb),
    );
  }

  #adapterMb(model: string): number {
    return this.#models.get(model)?.adapterMb ?? 0;
  }

  /** The model whose loss costs least, or nothing if each is needed more. */
  #victimOn(
    server: types.PlannerServer,
    isWanted: boolean,
  ): Victim | undefined {
    return server.models
      .filter(({ name }) => this.#mayDrop(server, name, isWanted))
      .map(({ name }) => ({
        name,
        isRunning: (server.running.get(name) ?? 0) > 0,
        costMs: this.#dropCost(server, name),
      }))
      .sort((one, other) => one.costMs - other.costMs)[0];
  }

  #mayDrop(
    server: types.PlannerServer,
    model: string,
    isWanted: boolean,
  ): boolean {
    const { loadedAt, now } = this.#scene;
    const age = now - (loadedAt.get(`${server.id} ${model}`) ?? -Infinity);
    if (age < MIN_RESIDENCE_MS) return false;
    const copies = this.#copiesOf(model);
    if (this.#waiting.has(model) && copies <= 1) return false;
    const need = this.#needs.find((one) => one.model === model);
    if (need !== undefined && copies <= this.#desiredCopies(need)) return false;
    // A spare copy is no reason to drop a model that may be asked for again.
    return isWanted || copies > 1 || (need?.arrivalsPerSecond ?? 0) === 0;
  }

  /** Waits that dropping a model causes, and those that it has to wait for. */
  #dropCost(server: types.PlannerServer, name: string): number {
    const { lastRequestedAt: lastWanted, now } = this.#scene;
    const running = server.running.get(name) ?? 0;
    const restMs = running > 0 ? RUN_REST_MS : 0;
    const need = this.#needs.find((one) => one.model === name);
    const isSpare = this.#copiesOf(name) > 1;
    const model = this.#models.get(name);
    const reloadMs = isSpare || model === undefined ? 0 : model.diskLoadMs;
    const sinceWanted = now - (lastWanted.get(name) ?? -Infinity);
    // Among models that nobody wants lately, the one unused for longest goes.
    const recency = RECENCY_MS / (1 + Math.min(sinceWanted, 1e6) / 1_000);
    return restMs + reloadMs * (need?.arrivalsPerSecond ?? 0) + recency;
  }

  #planAdapters(): types.ModelOrder[] {
    return this.#scene.demand
      .filter((need) => need.adapter !== undefined && isWaitedFor(need))
      .sort((one, other) => firstSlack(one) - firstSlack(other))
      .map((need) => this.#planAdapter(need))
      .filter((order) => order !== undefined);
  }

  #planAdapter(
    { adapter, model }: types.AggregateDemand,
  ): types.ModelOrder | undefined {
    if (adapter === undefined) return undefined;
    const key = types.adapterKey(model, adapter);
    const holders = this.#scene.servers.filter((server) =>
      server.isUsable && heldOn(server, model) !== undefined
    );
    if (holders.some((server) => hasAdapter(server, key))) return undefined;
    // A server refuses an adapter while it loads a model.
    const server = holders
      .filter(({ busyMs }) => busyMs === 0)
      .filter((one) => this.#pendingOn(one) < PENDING_ADAPTERS)
      .sort((one, other) => this.#adaptersOn(one) - this.#adaptersOn(other))[0];
    return server && this.#placeAdapter(server, model, adapter);
  }

  /** Adapters on their way to a server, those of this round included. */
  #pendingOn(server: types.PlannerServer): number {
    return server.pendingAdapters.size + (this.#added.get(server.id) ?? 0);
  }

  /** Adapters that take a place, those that are being dropped included. */
  #adaptersOn({ id, models, pendingAdapters }: types.PlannerServer): number {
    const held = models.reduce((sum, { adapters }) => sum + adapters.length, 0);
    return held + pendingAdapters.size + (this.#added.get(id) ?? 0);
  }

  #placeAdapter(
    server: types.PlannerServer,
    model: string,
    adapter: string,
  ): types.ModelOrder | undefined {
    const hasPlace =
      this.#adaptersOn(server) < this.#scene.engine.adapterPlaces &&
      this.#freeMb(server) >= this.#adapterMb(model);
    if (hasPlace) {
      this.#added.set(server.id, (this.#added.get(server.id) ?? 0) + 1);
      return { kind: "load-adapter", server: server.id, model, adapter };
    }
    if (server.unloadingAdapters.size > 0 || this.#dropping.has(server.id)) {
      return undefined;
    }
    const victim = this.#adapterVictim(server);
    if (victim === undefined) return undefined;
    this.#dropping.add(server.id);
    return { kind: "unload-adapter", server: server.id, ...victim };
  }

  #adapterVictim(
    server: types.PlannerServer,
  ): { readonly model: string; readonly adapter: string } | undefined {
    const { lastRequestedAt: lastWanted } = this.#scene;
    const wanted = new Set(
      this.#scene.demand.filter(isWaitedFor)
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
      .filter(({ key }) => !wanted.has(key) && !server.running.get(key))
      .sort((one, other) =>
        (lastWanted.get(one.key) ?? 0) - (lastWanted.get(other.key) ?? 0)
      )
      .map(({ adapter, model }) => ({ model, adapter }))[0];
  }
}

function isWaitedFor({ slacksMs }: types.AggregateDemand): boolean {
  return slacksMs.length > 0;
}

function firstSlack({ slacksMs }: types.AggregateDemand): number {
  return Math.min(Infinity, ...slacksMs);
}

/** Requests for adapters are requests for their model as well. */
function mergeAdapters(
  needs: readonly types.AggregateDemand[],
): types.AggregateDemand[] {
  const merged = new Map<string, types.AggregateDemand>();
  for (const need of needs) {
    const known = merged.get(need.model);
    merged.set(
      need.model,
      known === undefined ? { ...need, adapter: undefined } : {
        model: need.model,
        adapter: undefined,
        slacksMs: [...known.slacksMs, ...need.slacksMs],
        arrivalsPerSecond: known.arrivalsPerSecond + need.arrivalsPerSecond,
        concurrency: known.concurrency + need.concurrency,
      },
    );
  }
  return [...merged.values()];
}

function heldOn(
  server: types.PlannerServer,
  model: string,
): gateway.LoadedModel | undefined {
  return server.models.find(({ name }) => name === model);
}

function namesOn({ loading, models }: types.PlannerServer): string[] {
  const names = models.map(({ name }) => name);
  return loading === undefined ? names : [...names, loading];
}

/** Whether an adapter is on a server, or on its way there. */
function hasAdapter(
  { models, pendingAdapters }: types.PlannerServer,
  key: string,
): boolean {
  return pendingAdapters.has(key) ||
    models.some(({ adapters, name }) =>
      adapters.some((adapter) => types.adapterKey(name, adapter) === key)
    );
}

function sourceOf(
  { inMemory, onDisk }: types.PlannerServer,
  model: string,
): types.WeightSource {
  if (inMemory.has(model)) return "memory";
  return onDisk.has(model) ? "disk" : "store";
}

function loadTime(
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
