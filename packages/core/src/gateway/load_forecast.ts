import type { gateway } from "@ebonypath/protocol";
import type * as types from "./load_planner_types.ts";

/** What a forecast is made from. */
export type ForecastInput = {
  readonly engine: gateway.Engine;
  readonly servers: readonly types.PlannerServer[];
  readonly demand: readonly types.AggregateDemand[];
  /** Time until each load from the weight store in progress is complete. */
  readonly storeLoadsMs: readonly number[];
  /** Loads from the store that may be in progress at once. */
  readonly storeConcurrency: number;
};

/**
 * Forecasts for each model with waiting requests that no server holds when it
 * can be loaded at the earliest, in milliseconds from now: by the load that is
 * in progress, on the server with a copy of the weights that is free first, or
 * from the weight store once it has a free place. Other models may be loaded
 * first, so a request that can wait until then may still wait in vain; one that
 * can't does so for certain.
 *
 * Answers requests for rare models whose callers would otherwise be held until
 * they give up.
 *
 * @example
 * ```ts
 * forecastLoads(input).get("advice-7"); // 2_100
 * ```
 */
export function forecastLoads(input: ForecastInput): Map<string, number> {
  const usable = input.servers.filter(({ isUsable }) => isUsable);
  const held = new Set(
    usable.flatMap((server) => server.models.map(({ name }) => name)),
  );
  const missing = new Set(
    input.demand.filter(({ slacksMs }) => slacksMs.length > 0)
      .map(({ model }) => model)
      .filter((model) => !held.has(model)),
  );
  const placeMs = storePlaceMs(input);
  return new Map(
    input.engine.models.filter(({ name }) => missing.has(name))
      .map((model) => [model.name, earliestMs(model, usable, placeMs)]),
  );
}

/** Time until the weight store has a place for another load, in ms. */
function storePlaceMs(
  { storeConcurrency, storeLoadsMs }: ForecastInput,
): number {
  const excess = storeLoadsMs.length - Math.max(1, storeConcurrency);
  if (excess < 0) return 0;
  return storeLoadsMs.toSorted((one, other) => one - other)[excess] ?? 0;
}

function earliestMs(
  model: gateway.Model,
  servers: readonly types.PlannerServer[],
  placeMs: number,
): number {
  const times = servers.map(({ busyMs, inMemory, loading, onDisk }) => {
    if (loading === model.name) return busyMs;
    if (inMemory.has(model.name)) return busyMs + model.memoryLoadMs;
    if (onDisk.has(model.name)) return busyMs + model.diskLoadMs;
    return Math.max(busyMs, placeMs) + model.storeLoadMs;
  });
  return Math.min(...times);
}
