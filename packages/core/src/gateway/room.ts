import type { gateway } from "@ebonypath/protocol";
import * as types from "./paging_types.ts";

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
export function hasRoom(
  engine: gateway.Engine,
  server: Pick<types.PagedServer, "models" | "pendingAdapters">,
  order: types.PagingOrder,
): boolean {
  const sizes = new Map(engine.models.map((model) => [model.name, model]));
  const adapters = [
    ...server.models.flatMap((held) =>
      held.adapters.map((adapter) => types.adapterKey(held.name, adapter))
    ),
    ...server.pendingAdapters,
  ];
  const usedMb = sum(
    server.models.map(({ name }) => sizes.get(name)?.weightsMb ?? 0),
  ) + sum(
    adapters.map((key) =>
      sizes.get(key.split("/", 1)[0] ?? "")?.adapterMb ?? 0
    ),
  );
  const size = sizes.get(order.model);
  switch (order.kind) {
    case "unload":
    case "unload-adapter":
      return true;
    case "load":
      return usedMb + (size?.weightsMb ?? 0) <= engine.weightsMb;
    case "load-adapter":
      return adapters.length < engine.adapterPlaces &&
        usedMb + (size?.adapterMb ?? 0) <= engine.weightsMb;
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
