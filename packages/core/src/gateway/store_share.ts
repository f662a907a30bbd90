import type * as types from "./load_planner_types.ts";

/**
 * Part of a service's servers that may load from the store at once. A load from
 * the store takes about seven times as long as one from a disk, and demand may
 * move meanwhile to models that are only on the disk of such a server. While the
 * store has places, a smaller part leaves models without any load instead.
 */
const MAX_STORE_SHARE = 1 / 2;

/**
 * Loads from the store that the servers of one service may execute at once. A
 * server without copies has nothing that its load could put out of reach.
 *
 * @example
 * ```ts
 * const mayLoad = loadsInProgress < maxStoreLoads(servers);
 * ```
 */
export function maxStoreLoads(
  servers: readonly types.PlannerServer[],
): number {
  const usable = servers.filter(({ isUsable }) => isUsable);
  const withCopies = usable.filter(({ inMemory, models, onDisk }) =>
    onDisk.size + inMemory.size + models.length > 0
  );
  return usable.length - withCopies.length +
    Math.ceil(withCopies.length * MAX_STORE_SHARE);
}
