import type { gateway } from "@ebonypath/protocol";
import * as loadDemand from "./load_demand.ts";
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
 * Time without a served request from which a model goes before others, in
 * milliseconds. Callers who asked again several times meanwhile give up.
 */
export const MAX_UNSERVED_MS = 8_000;
/** Time of expected arrivals that count as much as waiting requests, in s. */
const EXPECTED_SECONDS = 4;
/**
 * Demand for each model and its replicas, as of one planning round.
 *
 * @example
 * ```ts
 * const demand = new ModelDemand(input);
 * demand.replicaCount("advice-7"); // 2
 * ```
 */
export class ModelDemand {
  /** Demand by model, including the demand for its adapters. */
  readonly all: readonly types.AggregateDemand[];
  readonly #engine: gateway.Engine;
  readonly #byModel: ReadonlyMap<string, types.AggregateDemand>;
  /** Models with waiting requests. */
  readonly #requested: ReadonlySet<string>;
  /** Number of usable servers that hold or load each model. */
  readonly #replicas = new Map<string, number>();
  /** Time since the first request that was not served, by model, in ms. */
  readonly #unservedMs: ReadonlyMap<string, number>;

  constructor(input: types.PlannerInput) {
    this.#engine = input.engine;
    this.all = loadDemand.mergeAdapters(input.demand);
    this.#byModel = new Map(this.all.map((demand) => [demand.model, demand]));
    this.#requested = new Set(
      this.all.filter(loadDemand.hasWaiting).map(({ model }) => model),
    );
    this.#unservedMs = loadDemand.unservedAges(input);
    for (const server of input.servers.filter(({ isUsable }) => isUsable)) {
      for (const name of types.modelNames(server)) this.addReplica(name);
    }
  }

  /** Demand for a model, if there is any. */
  of(model: string): types.AggregateDemand | undefined {
    return this.#byModel.get(model);
  }

  /** Whether requests wait for a model or callers come back for it. */
  isRequested(model: string): boolean {
    return this.#requested.has(model);
  }

  /** Requests for a model that wait or are expected soon. */
  requestsFor(model: string): number {
    const { arrivalsPerSecond = 0, slacksMs = [] } = this.#byModel.get(model) ??
      {};
    return slacksMs.length + arrivalsPerSecond * EXPECTED_SECONDS;
  }

  /** Replicas that the demand for a model requires. */
  targetReplicas(
    { arrivalsPerSecond, concurrency }: types.AggregateDemand,
  ): number {
    const { slots } = this.#engine;
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

  /** Number of usable servers that hold or load a model. */
  replicaCount(model: string): number {
    return this.#replicas.get(model) ?? 0;
  }

  /** Records that a model will be loaded. */
  addReplica(model: string): void {
    this.#replicas.set(model, this.replicaCount(model) + 1);
  }

  /** Time since the first request for a model that was not served, in ms. */
  unservedMs(model: string): number {
    return this.#unservedMs.get(model) ?? 0;
  }

  /** Whether no request for a model was served for so long that it goes first. */
  isUnserved(model: string): boolean {
    return this.unservedMs(model) >= MAX_UNSERVED_MS;
  }
}
