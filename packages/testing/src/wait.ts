/**
 * Waiting for a condition instead of sleeping.
 *
 * @module
 */
import * as timers from "node:timers/promises";

/** Deadline when none is given, in milliseconds. */
const TIMEOUT_MS = 10_000;
/** Pause between two checks, in milliseconds. */
const INTERVAL_MS = 10;

/** Limits of a wait. */
export interface WaitOptions {
  /** Deadline in milliseconds. */
  readonly timeoutMs?: number;
  /** Pause between two checks in milliseconds. */
  readonly intervalMs?: number;
  /** Adds to the message of a wait that failed, for instance a log. */
  readonly describe?: () => string;
}

/** A condition did not come true before the deadline. */
export class WaitError extends Error {
  override readonly name = "WaitError";
}

/**
 * Waits until a check returns something other than `undefined` or `false`.
 * A check that throws counts as not yet true; its last error becomes the cause.
 *
 * @example
 * ```ts
 * const leader = await waitFor("a leader", () => fleet.leader());
 * ```
 */
export async function waitFor<T>(
  what: string,
  check: () => T | Promise<T>,
  options: WaitOptions = {},
): Promise<Exclude<T, false | undefined>> {
  const timeoutMs = options.timeoutMs ?? TIMEOUT_MS;
  const deadline = performance.now() + timeoutMs;
  let cause: unknown;
  do {
    try {
      const value = await check();
      if (value !== undefined && value !== false) {
        return value as Exclude<T, false | undefined>;
      }
      cause = undefined;
    } catch (error) {
      cause = error;
    }
    await timers.setTimeout(options.intervalMs ?? INTERVAL_MS);
  } while (performance.now() < deadline);
  const detail = options.describe === undefined
    ? ""
    : `\n${options.describe()}`;
  throw new WaitError(`waited ${timeoutMs} ms for ${what}${detail}`, { cause });
}
