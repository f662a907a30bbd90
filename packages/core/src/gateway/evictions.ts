import type { gateway } from "@ebonypath/protocol";
import type * as types from "./load_planner_types.ts";
import type * as modelDemand from "./model_demand.ts";

/**
 * Shortest time that a model stays loaded, in milliseconds. Within it the entry
 * hosts learn of the load, send requests and report that they run.
 */
const MIN_RESIDENCE_MS = 1_000;
/** Expected remaining time of the requests that an unload waits for, in ms. */
const REMAINING_RUN_MS = 3_000;
/**
 * Largest recency term in the cost of an eviction, in milliseconds. It is lower
 * than the cost of waiting for running requests.
 */
const RECENCY_MS = 1_000;

/**
 * Shortest time that a model that was not served for long stays for callers that
 * come back, in milliseconds.
 */
const UNSERVED_RESIDENCE_MS = 3_000;

/**
 * Time for which the replicas of a model tell of its demand, in milliseconds.
 * Until then, a leader hasn't seen enough requests to know better.
 */
const UNKNOWN_DEMAND_MS = 8_000;
/**
 * Requests that a load must serve, relative to those for the model that it
 * evicts, to evict one that requests wait for. Less would let two models evict
 * each other by turns.
 */
const OUTWEIGH_FACTOR = 3;
/** Shortest time that a model with waiting requests stays loaded, in ms. */
const REQUESTED_RESIDENCE_MS = 3_000;

/** A model that may be evicted, and the cost of its eviction. */
export type Victim = {
  readonly name: string;
  readonly isRunning: boolean;
  readonly costMs: number;
};

/**
 * Decides which model a server unloads to make room for another one.
 *
 * @example
 * ```ts
 * const evictions = new Evictions(input, new ModelDemand(input));
 * evictions.cheapestVictim(server, "advice-7", true)?.name; // "advice-3"
 * ```
 */
export class Evictions {
  readonly #input: types.PlannerInput;
  readonly #demand: modelDemand.ModelDemand;
  readonly #models: ReadonlyMap<string, gateway.Model>;

  constructor(input: types.PlannerInput, demand: modelDemand.ModelDemand) {
    this.#input = input;
    this.#demand = demand;
    this.#models = new Map(
      input.engine.models.map((model) => [model.name, model]),
    );
  }

  /** The model with the cheapest eviction, if any may be evicted. */
  cheapestVictim(
    server: types.PlannerServer,
    forModel: string,
    isRequested: boolean,
  ): Victim | undefined {
    return server.models
      .filter(({ name }) =>
        this.#mayEvict(server, name, isRequested) ||
        isRequested && this.#isOutweighed(server, name, forModel)
      )
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
    const residenceMs = this.#demand.isUnserved(model)
      ? UNSERVED_RESIDENCE_MS
      : MIN_RESIDENCE_MS;
    if (age < residenceMs) return false;
    const replicas = this.#demand.replicaCount(model);
    if (this.#demand.isRequested(model) && replicas <= 1) return false;
    const demand = this.#demand.of(model);
    if (
      demand !== undefined && replicas <= this.#demand.targetReplicas(demand)
    ) {
      return false;
    }
    // An additional replica of one model doesn't evict the last replica of
    // another one that still has arrivals.
    return isRequested || replicas > 1 ||
      (demand?.arrivalsPerSecond ?? 0) === 0;
  }

  /**
   * Whether far more requests are for a model that no server holds than for an
   * idle one. Those that wait for the idle one are mostly callers that were told
   * to come back.
   */
  #isOutweighed(
    server: types.PlannerServer,
    model: string,
    other: string,
  ): boolean {
    const { loadedAt, now } = this.#input;
    const age = now - (loadedAt.get(`${server.id} ${model}`) ?? -Infinity);
    return age >= REQUESTED_RESIDENCE_MS && !server.running.get(model) &&
      this.#demand.replicaCount(other) === 0 &&
      this.#demand.requestsFor(other) >
        OUTWEIGH_FACTOR * Math.max(1, this.#demand.requestsFor(model));
  }

  /**
   * Cost of an eviction, in milliseconds: the wait for running requests, the
   * expected waits for a reload of the model, and a term for its recent use.
   */
  #evictionCost(server: types.PlannerServer, name: string): number {
    const { lastRequestedAt, now } = this.#input;
    const running = server.running.get(name) ?? 0;
    const runMs = running > 0 ? REMAINING_RUN_MS : 0;
    const demand = this.#demand.of(name);
    const hasOtherReplica = this.#demand.replicaCount(name) > 1;
    const model = this.#models.get(name);
    const reloadMs = hasOtherReplica || model === undefined
      ? 0
      : model.diskLoadMs;
    const idleMs = now - (lastRequestedAt.get(name) ?? -Infinity);
    // Among models without recent demand, the least recently used is evicted.
    const recency = RECENCY_MS / (1 + Math.min(idleMs, 1e6) / 1_000);
    const waiting = demand?.slacksMs.length ?? 0;
    const lost = waiting + (demand?.arrivalsPerSecond ?? 0);
    return runMs + reloadMs * lost + recency +
      this.#unknownDemandMs(name);
  }

  /**
   * Part of the cost of an eviction while the demand is not known yet: a model
   * on several servers was placed there because it is asked for often.
   */
  #unknownDemandMs(name: string): number {
    const unknown = 1 - this.#input.observedMs / UNKNOWN_DEMAND_MS;
    const replicas = Math.max(1, this.#demand.replicaCount(name));
    return RECENCY_MS * Math.max(0, unknown) * (1 - 1 / replicas);
  }
}
