import type { gateway } from "@ebonypath/protocol";

/** The copies of a model that no server has. */
export const NO_COPIES: gateway.ModelCopies = {
  loaded: 0,
  inMemory: 0,
  onDisk: 0,
  loading: 0,
};

/** What the copies of a model are counted by. */
export type CopyHolder =
  & Pick<gateway.Heartbeat, "inMemory" | "models" | "onDisk">
  & {
    /** Model that it has been ordered to load. */
    readonly loading: string | undefined;
  };

/**
 * Counts the servers that have each model, or are ordered to load it: what a
 * refusal for want of it follows from.
 *
 * @example
 * ```ts
 * countCopies(servers).get("advice-7"); // { loaded: 0, inMemory: 0, onDisk: 2, … }
 * ```
 */
export function countCopies(
  servers: readonly CopyHolder[],
): Map<string, gateway.ModelCopies> {
  const copies = new Map<string, gateway.ModelCopies>();
  const add = (models: Iterable<string>, kind: keyof gateway.ModelCopies) => {
    for (const model of models) {
      const known = copies.get(model) ?? NO_COPIES;
      copies.set(model, { ...known, [kind]: known[kind] + 1 });
    }
  };
  for (const { inMemory, loading, models, onDisk } of servers) {
    add(models.map(({ name }) => name), "loaded");
    add(inMemory, "inMemory");
    add(onDisk, "onDisk");
    add(loading === undefined ? [] : [loading], "loading");
  }
  return copies;
}
