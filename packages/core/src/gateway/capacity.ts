import type { gateway } from "@ebonypath/protocol";
import * as types from "./load_planner_types.ts";

/** What takes memory on a server. */
type Load = Pick<types.PlannerServer, "models" | "pendingAdapters">;

/**
 * Whether a server has room for what an order brings, by what is known of it
 * now. To be asked again just before an order is sent: what was planned may
 * have been overtaken by what the server has said since.
 *
 * @example
 * ```ts
 * if (!hasRoom(engine, known, order)) return postpone(order);
 * ```
 */
export function hasCapacity(
  engine: gateway.Engine,
  server: Load,
  order: types.ModelOrder,
): boolean {
  const sizes = new Map(engine.models.map((model) => [model.name, model]));
  const adapters = adaptersOf(server);
  const used = usedMb(sizes, server);
  const size = sizes.get(order.model);
  switch (order.kind) {
    case "unload":
    case "unload-adapter":
      return true;
    case "load":
      return used + (size?.weightsMb ?? 0) <= engine.weightsMb;
    case "load-adapter":
      return adapters.length < engine.adapterPlaces &&
        used + (size?.adapterMb ?? 0) <= engine.weightsMb;
  }
}

/**
 * Memory of the models and adapters on a server, and of adapters on their way,
 * in MB.
 *
 * @example
 * ```ts
 * const freeMb = engine.weightsMb - usedMb(sizes, server);
 * ```
 */
export function usedMb(
  sizes: ReadonlyMap<string, gateway.Model>,
  server: Load,
): number {
  const weights = server.models
    .map(({ name }) => sizes.get(name)?.weightsMb ?? 0);
  const adapters = adaptersOf(server)
    .map((key) => sizes.get(key.split("/", 1)[0] ?? "")?.adapterMb ?? 0);
  return sum(weights) + sum(adapters);
}

function adaptersOf({ models, pendingAdapters }: Load): string[] {
  const held = models.flatMap(({ adapters, name }) =>
    adapters.map((adapter) => types.adapterKey(name, adapter))
  );
  return [...held, ...pendingAdapters];
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
