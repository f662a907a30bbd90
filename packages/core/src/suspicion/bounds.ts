/**
 * Times and limits of the detection of requests that crash backend servers.
 *
 * @module
 */

/** Which evidence isolates and quarantines an attribute of requests. */
export type CrashCounts = {
  /** Crashes after which its requests run only isolated from other suspects. */
  readonly isolation: number;
  /** Crashes, one of them while isolated, after which it is quarantined. */
  readonly quarantine: number;
  /**
   * The same where all crashes are those of one server: it may end for reasons
   * of its own.
   */
  readonly singleServerQuarantine: number;
  /**
   * Time in which hosts may report that requests with a shared attribute ran
   * without a crash, before they are isolated, in milliseconds.
   */
  readonly observationMs: number;
  /**
   * Largest probability, of a quarantined attribute, that requests without fault
   * would have met its crashes by chance.
   */
  readonly maxChance: number;
};

/** The counts where few requests are in flight on a server. */
export const DEFAULT_CRASH_COUNTS: CrashCounts = {
  isolation: 1,
  quarantine: 2,
  singleServerQuarantine: 2,
  observationMs: 0,
  maxChance: 1,
};

/**
 * The counts where dozens of requests are in flight on a server: most of them
 * are harmless, and isolating all of them would delay them.
 */
export const SHARED_SERVER_CRASH_COUNTS: CrashCounts = {
  isolation: 2,
  quarantine: 3,
  singleServerQuarantine: 5,
  observationMs: 250,
  maxChance: 1e-5,
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

/**
 * Time after a crash until which requests may still tell apart the suspects that
 * explain it equally well, in milliseconds.
 */
export const SEPARATION_MS = 3_000;

/**
 * Times over which the rate of crashes for other causes is measured, in
 * milliseconds: the higher rate counts, as crashes come in bursts.
 */
export const CRASH_RATE_WINDOWS_MS: readonly number[] = [5_000, 20_000];

/**
 * Maximum number of suspects; the least recent ones are dropped. It holds those
 * of a dozen crashes of servers with 64 requests in flight.
 */
export const MAX_SUSPECTS = 4096;

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
