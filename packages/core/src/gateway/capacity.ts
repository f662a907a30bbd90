import type { gateway } from "@ebonypath/protocol";
import * as types from "./load_planner_types.ts";

/** Models and adapters that take memory on a server. */
type Occupancy = Pick<types.PlannerServer, "models" | "pendingAdapters">;

/**
 * Whether a server has enough free memory and adapter slots for an order. The
 * check is repeated just before the order is sent, because the server may have
 * reported less free capacity since the order was planned.
 *
 * @example
 * ```ts
 * if (!hasCapacity(engine, server, order)) return postpone(order);
 * ```
 */
export function hasCapacity(
  engine: gateway.Engine,
  server: Occupancy,
  order: types.ModelOrder,
): boolean {
  const models = new Map(engine.models.map((model) => [model.name, model]));
  const adapters = adaptersOn(server);
  const used = usedMb(models, server);
  const model = models.get(order.model);
  switch (order.kind) {
    case "unload":
    case "unload-adapter":
      return true;
    case "load":
      return used + (model?.weightsMb ?? 0) <= engine.weightsMb;
    case "load-adapter":
      return adapters.length < engine.adapterPlaces &&
        used + (model?.adapterMb ?? 0) <= engine.weightsMb;
  }
}

/**
 * Memory that a server's models and adapters take, including adapters that it
 * has been ordered to load, in MB.
 *
 * @example
 * ```ts
 * const freeMb = engine.weightsMb - usedMb(models, server);
 * ```
 */
export function usedMb(
  models: ReadonlyMap<string, gateway.Model>,
  server: Occupancy,
): number {
  const weights = server.models
    .map(({ name }) => models.get(name)?.weightsMb ?? 0);
  const adapters = adaptersOn(server)
    .map((key) => models.get(key.split("/", 1)[0] ?? "")?.adapterMb ?? 0);
  return sum(weights) + sum(adapters);
}

function adaptersOn({ models, pendingAdapters }: Occupancy): string[] {
  const held = models.flatMap(({ adapters, name }) =>
    adapters.map((adapter) => types.adapterKey(name, adapter))
  );
  return [...held, ...pendingAdapters];
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
