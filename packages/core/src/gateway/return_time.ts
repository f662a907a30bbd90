/** Part of the time left that a caller is told to stay away at most. */
const MAX_AWAY_FRACTION = 1 / 3;

/**
 * Time until a caller comes back that is told to, in milliseconds: when its model
 * is ready, or earlier so that it still has the time to wait for it.
 *
 * @param leftMs time until it gives up altogether, in milliseconds
 *
 * @example
 * ```ts
 * awayMs(12_000, 15_000); // 5_000
 * ```
 */
export function awayMs(afterMs: number, leftMs: number): number {
  return Math.min(afterMs, Math.max(0, leftMs) * MAX_AWAY_FRACTION);
}
