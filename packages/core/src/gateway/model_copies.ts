import type { gateway } from "@ebonypath/protocol";

/** What the copies of a model are counted by. */
export type CopyHolder =
  & Pick<gateway.Heartbeat, "inMemory" | "models" | "onDisk">
  & {
    /** Model that it has been ordered to load. */
    readonly loading: string | undefined;
  };

/**
 * Counts the servers that have a model: what a refusal for want of it follows
 * from.
 *
 * @example
 * ```ts
 * countCopies(servers, "advice-7"); // { loaded: 0, inMemory: 0, onDisk: 2, … }
 * ```
 */
export function countCopies(
  servers: readonly CopyHolder[],
  model: string,
): gateway.ModelCopies {
  const count = (has: (server: CopyHolder) => boolean) =>
    servers.filter(has).length;
  return {
    loaded: count(({ models }) => models.some(({ name }) => name === model)),
    inMemory: count(({ inMemory }) => inMemory.includes(model)),
    onDisk: count(({ onDisk }) => onDisk.includes(model)),
    loading: count(({ loading }) => loading === model),
  };
}
