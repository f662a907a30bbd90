import type * as arrivalRates from "./arrival_rates.ts";

/** Idle accelerator seconds that are worth one second of a caller's wait. */
const IDLE_SECONDS_PER_WAIT_SECOND = 60;
/** Minimum time without demand before a model is unloaded as idle. */
const MIN_IDLE_MS = 10_000;
/** Minimum retention value for loading a model before it is requested. */
const MIN_PREFETCH_VALUE = 2;

/** A model on a server, with what its retention value depends on. */
export interface RetentionCandidate {
  readonly model: string;
  /** Expected time to load it again, in milliseconds. */
  readonly reloadMs: number;
  /** Fraction of the server's memory that it occupies, from 0 to 1. */
  readonly memoryShare: number;
}

/**
 * Value of keeping a model in memory: the wait that reloads are expected to
 * cause, relative to the share of the accelerator that the model occupies.
 * Below 1 the memory is worth more than the saved wait.
 */
export function retentionValue(
  candidate: RetentionCandidate,
  rates: arrivalRates.ArrivalRates,
  nowMs: number,
): number {
  const rate = rates.ratePerSecond(candidate.model, nowMs);
  const waitSeconds = rate * candidate.reloadMs / 1_000;
  return IDLE_SECONDS_PER_WAIT_SECOND * waitSeconds /
    Math.max(candidate.memoryShare, 1e-6);
}

/**
 * Whether a model without demand should be unloaded.
 *
 * @param sinceMs earliest time from which the model counts as idle
 */
export function shouldUnloadIdle(
  candidate: RetentionCandidate,
  rates: arrivalRates.ArrivalRates,
  sinceMs: number,
  nowMs: number,
): boolean {
  const lastMs = Math.max(
    rates.lastArrivalMs(candidate.model) ?? sinceMs,
    sinceMs,
  );
  if (nowMs - lastMs < MIN_IDLE_MS) return false;
  return retentionValue(candidate, rates, nowMs) < 1;
}

/** Whether a model should be loaded into free memory before a request. */
export function shouldPrefetch(
  candidate: RetentionCandidate,
  rates: arrivalRates.ArrivalRates,
  nowMs: number,
): boolean {
  return retentionValue(candidate, rates, nowMs) >= MIN_PREFETCH_VALUE;
}
