/**
 * Times and limits of the detection of requests that crash backend servers.
 *
 * @module
 */

/** After how many server crashes a request is isolated and quarantined. */
export type CrashCounts = {
  /** Crashes after which a request runs only isolated from other suspects. */
  readonly isolation: number;
  /** Crashes, one of them while isolated, after which it is quarantined. */
  readonly quarantine: number;
};

/** The counts where few requests are in flight on a server. */
export const DEFAULT_CRASH_COUNTS: CrashCounts = {
  isolation: 1,
  quarantine: 2,
};

/**
 * The counts where dozens of requests are in flight on a server: most of them
 * are harmless, and isolating all of them would delay them.
 */
export const SHARED_SERVER_CRASH_COUNTS: CrashCounts = {
  isolation: 2,
  quarantine: 3,
};

/**
 * Time after its latest crash for which a suspect is watched, in milliseconds.
 */
export const SUSPECT_TTL_MS = 600_000;

/** Duration of a quarantine, in milliseconds. */
export const QUARANTINE_MS = 3_600_000;

/**
 * Time in which all hosts report which requests they had in flight at a crash,
 * in milliseconds.
 */
export const CRASH_REPORT_WINDOW_MS = 1500;

/** Maximum number of suspects; the least recent ones are dropped. */
export const MAX_SUSPECTS = 1024;

/** Maximum number of crashes on record. */
export const MAX_CRASHES = 256;

/**
 * Sets an entry as the most recent one of a map in the order of last changes,
 * and drops the least recent ones until at most `maxSize` are left.
 *
 * @example
 * ```ts
 * setNewest(usageByHost, "entry-1", usage, 4_096);
 * ```
 */
export function setNewest<Value>(
  map: Map<string, Value>,
  key: string,
  value: Value,
  maxSize: number,
): void {
  map.delete(key);
  map.set(key, value);
  dropOldest(map, maxSize, (oldest) => map.delete(oldest));
}

/** Drops entries in insertion order until at most `maxSize` are left. */
export function dropOldest(
  map: ReadonlyMap<string, unknown>,
  maxSize: number,
  drop: (key: string) => void,
): void {
  for (const key of map.keys()) {
    if (map.size <= maxSize) {
      return;
    }
    drop(key);
  }
}
