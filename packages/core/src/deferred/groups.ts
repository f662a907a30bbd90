import type * as state from "../state/mod.ts";
import type * as types from "./types.ts";

/** Time kept in reserve before a deadline, in milliseconds. */
const RESERVE_MS = 5_000;
/** Time for which requests of a model that is not loaded are collected. */
const COLLECT_MS = 30_000;
/** Part of the allowed time after which requests are collected no longer. */
const COLLECT_SHARE = 0.1;

/** The waiting requests of one target, the earliest deadline first. */
export interface Group {
  readonly target: string;
  readonly items: readonly state.WaitingDeferredRequest[];
  readonly capacity: types.TargetCapacity;
}

/** Groups waiting requests by target, the earliest deadline first. */
export function groupsOf(facts: types.PlannerInput): Group[] {
  const byTarget = new Map<string, state.WaitingDeferredRequest[]>();
  for (const item of facts.waiting) {
    const target = targetOf(item);
    const items = byTarget.get(target);
    if (items === undefined) byTarget.set(target, [item]);
    else items.push(item);
  }
  return [...byTarget].map(([target, items]) => ({
    target,
    items: items.sort((a, b) => a.deadlineMs - b.deadlineMs),
    capacity: facts.capacityOf(target),
  })).sort((a, b) => firstDeadlineMs(a) - firstDeadlineMs(b));
}

/** When the earliest deadline of a group passes, in log time. */
export function firstDeadlineMs(group: Group): number {
  return group.items[0]?.deadlineMs ?? Infinity;
}

/**
 * Counts the requests that have to start now to end in time: the last of the
 * first `n` requests ends after a load and the rounds before it.
 */
export function urgentCount(group: Group, timeMs: number): number {
  const { loaded, loadMs, requestMs, concurrency } = group.capacity;
  const startMs = timeMs + RESERVE_MS + (loaded ? 0 : loadMs);
  const lanes = Math.max(1, concurrency);
  let urgent = 0;
  group.items.forEach((item, place) => {
    const rounds = Math.floor(place / lanes) + 1;
    if (startMs + rounds * requestMs >= item.deadlineMs) urgent = place + 1;
  });
  return urgent;
}

/** Whether a group has been collected for long enough to use idle memory. */
export function isCollected(group: Group, timeMs: number): boolean {
  return group.items.some(({ acceptedMs, deadlineMs }) => {
    const allowedMs = deadlineMs - acceptedMs;
    const collectMs = Math.min(COLLECT_MS, COLLECT_SHARE * allowedMs);
    return timeMs - acceptedMs >= collectMs;
  });
}

function targetOf(
  { phase: { request } }: state.WaitingDeferredRequest,
): string {
  return request.model ?? request.service;
}
