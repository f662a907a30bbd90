import type * as state from "../state/mod.ts";
import type * as types from "./types.ts";

/** Safety margin before a deadline, in milliseconds. */
const DEADLINE_MARGIN_MS = 5_000;
/**
 * Maximum time for which requests of a model that is not loaded are batched, in
 * milliseconds.
 */
const MAX_BATCHING_MS = 30_000;
/** Maximum fraction of the time to the deadline that is spent on batching. */
const MAX_BATCHING_FRACTION = 0.1;

/** Waiting requests of one target, earliest deadline first. */
export interface TargetGroup {
  readonly target: string;
  readonly items: readonly state.Waiting[];
  readonly capacity: types.TargetCapacity;
}

/** Groups waiting requests by target, sorted by earliest deadline. */
export function groupByTarget(input: types.PlannerInput): TargetGroup[] {
  const byTarget = new Map<string, state.Waiting[]>();
  for (const item of input.waiting) {
    const target = targetOf(item);
    const items = byTarget.get(target);
    if (items === undefined) byTarget.set(target, [item]);
    else items.push(item);
  }
  return [...byTarget].map(([target, items]) => ({
    target,
    items: items.sort((a, b) => a.deadlineMs - b.deadlineMs),
    capacity: input.capacityOf(target),
  })).sort((a, b) => firstDeadlineMs(a) - firstDeadlineMs(b));
}

/** Earliest deadline of a group, in log time. */
export function firstDeadlineMs(group: TargetGroup): number {
  return group.items[0]?.deadlineMs ?? Infinity;
}

/**
 * Number of requests, earliest deadline first, that must start now to end in
 * time. The expected end of a request allows for loading the model and for the
 * rounds of requests that run before it.
 */
export function urgentCount(group: TargetGroup, timeMs: number): number {
  const { loaded, loadMs, requestMs, concurrency } = group.capacity;
  const startMs = timeMs + DEADLINE_MARGIN_MS + (loaded ? 0 : loadMs);
  const requestsPerRound = Math.max(1, concurrency);
  let urgent = 0;
  group.items.forEach((item, index) => {
    const rounds = Math.floor(index / requestsPerRound) + 1;
    if (startMs + rounds * requestMs >= item.deadlineMs) urgent = index + 1;
  });
  return urgent;
}

/**
 * Whether a group has been batched for long enough for its model to be loaded
 * into idle memory.
 */
export function isBatchingComplete(
  group: TargetGroup,
  timeMs: number,
): boolean {
  return group.items.some(({ acceptedMs, deadlineMs }) => {
    const allowedMs = deadlineMs - acceptedMs;
    const batchingMs = Math.min(
      MAX_BATCHING_MS,
      MAX_BATCHING_FRACTION * allowedMs,
    );
    return timeMs - acceptedMs >= batchingMs;
  });
}

function targetOf({ phase: { request } }: state.Waiting): string {
  return request.model ?? request.service;
}
