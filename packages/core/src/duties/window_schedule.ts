import * as begunCounter from "./begun_counter.ts";

/**
 * Part of the time until a report is due for which hosts may still tell their
 * counts. Hosts report counts within 1 to 2 s; the rest is for a new leader,
 * which waits before it makes calls, and for repeated calls.
 */
const COLLECT_FRACTION = 0.4;

/** What decides whether the next window is closed. */
export type WindowSituation = {
  /** Time of day at most hosts, in milliseconds since 1970. */
  readonly timeMs: number;
  readonly windowMs: number;
  /** Time from the end of a window until its report is due, in ms. */
  readonly dueMs: number;
  /** Last window whose content is fixed; null before the first one. */
  readonly closedWindow: number | null;
};

/**
 * The window to close now, if any. Windows follow each other without a gap,
 * also those without a request; but what is older than hosts keep is skipped.
 *
 * @example
 * ```ts
 * nextWindow({ timeMs: 14_000, windowMs: 5_000, dueMs: 10_000, closedWindow: 0 });
 * // 1: it ended at 10_000, and hosts had 4 s to tell
 * ```
 */
export function nextWindow(
  { closedWindow, dueMs, timeMs, windowMs }: WindowSituation,
): number | undefined {
  const collectMs = dueMs * COLLECT_FRACTION;
  const latest = Math.floor((timeMs - collectMs) / windowMs) - 1;
  const earliest = Math.max(
    closedWindow === null ? latest : closedWindow + 1,
    latest - begunCounter.MAX_OPEN_WINDOWS + 1,
  );
  return earliest <= latest ? earliest : undefined;
}
