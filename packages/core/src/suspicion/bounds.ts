/**
 * Times and bounds of the search for requests that crash backend servers.
 *
 * @module
 */

/** Separate server deaths that condemn a request. */
export const QUARANTINE_CRASH_COUNT = 2;

/** How long a suspect is watched after the last death it was present at. */
export const SUSPECT_TTL_MS = 600_000;

/** How long a condemned request should be quarantined. */
export const QUARANTINE_MS = 3_600_000;

/** Time in which all hosts report what they had in flight at a death. */
export const CRASH_REPORT_WINDOW_MS = 1500;

/** Most suspects that are watched; the ones suspected first are dropped. */
export const MAX_SUSPECTS = 1024;

/** Most deaths that are remembered. */
export const MAX_CRASHES = 256;

/** Drops the entries that were added first until at most `most` are left. */
export function dropOldest(
  map: ReadonlyMap<string, unknown>,
  most: number,
  drop: (key: string) => void,
): void {
  for (const key of map.keys()) {
    if (map.size <= most) {
      return;
    }
    drop(key);
  }
}
