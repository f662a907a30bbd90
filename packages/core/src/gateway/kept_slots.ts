/** Part of a server's slots that is kept at most: none of less than eight. */
const MAX_KEPT_FRACTION = 1 / 8;

/**
 * Number of a server's slots that are kept for callers that were told to come
 * back, out of those that are due for its models.
 *
 * @param due callers that are due, by model
 * @param holders servers that hold the model, by model
 *
 * @example
 * ```ts
 * keptSlots({ slots: 32, models: ["a"] }, new Map([["a", 6]]), new Map([["a", 2]])); // 3
 * ```
 */
export function keptSlots(
  { models, slots }: {
    readonly slots: number;
    readonly models: readonly string[];
  },
  due: ReadonlyMap<string, number>,
  holders: ReadonlyMap<string, number>,
): number {
  const expected = models.reduce(
    (sum, model) =>
      sum + (due.get(model) ?? 0) / Math.max(1, holders.get(model) ?? 1),
    0,
  );
  const most = Math.floor(slots * MAX_KEPT_FRACTION);
  return Math.min(Math.ceil(expected), most);
}
