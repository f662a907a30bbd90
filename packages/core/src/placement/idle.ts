import type * as arrivals from "./arrivals.ts";

/** Idle accelerator seconds that one second of a caller's wait is worth. */
const WAIT_WORTH = 60;
/** A model is not unloaded as idle before this time without need. */
const MIN_IDLE_MS = 10_000;
/** Value from which a model is loaded ahead of its next need. */
const PREFETCH_VALUE = 2;

/** What keeping a model in memory depends on. */
export interface RetentionCandidate {
  readonly model: string;
  /** Expected time to load it again, in milliseconds. */
  readonly reloadMs: number;
  /** Its part of the server's memory, from 0 to 1. */
  readonly memoryShare: number;
}

/**
 * Worth of keeping a model against what it keeps out: the wait that a reload
 * is expected to cause, over the part of the accelerator that it occupies.
 * Below 1 it is not worth its memory.
 */
export function retentionValue(
  holding: RetentionCandidate,
  known: arrivals.ArrivalRates,
  nowMs: number,
): number {
  const rate = known.ratePerSecond(holding.model, nowMs);
  const waitSeconds = rate * holding.reloadMs / 1_000;
  return WAIT_WORTH * waitSeconds / Math.max(holding.memoryShare, 1e-6);
}

/** Whether an unneeded model gives its memory back. */
export function shouldUnloadIdle(
  holding: RetentionCandidate,
  known: arrivals.ArrivalRates,
  sinceMs: number,
  nowMs: number,
): boolean {
  const lastMs = Math.max(
    known.lastArrivalMs(holding.model) ?? sinceMs,
    sinceMs,
  );
  if (nowMs - lastMs < MIN_IDLE_MS) return false;
  return retentionValue(holding, known, nowMs) < 1;
}

/** Whether free memory is used to load a model ahead of its next need. */
export function shouldPrefetch(
  holding: RetentionCandidate,
  known: arrivals.ArrivalRates,
  nowMs: number,
): boolean {
  return retentionValue(holding, known, nowMs) >= PREFETCH_VALUE;
}
