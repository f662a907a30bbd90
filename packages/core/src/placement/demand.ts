import type * as protocol from "@ebonypath/protocol";
import * as types from "./types.ts";

/** Age from which the report of a host no longer counts, in milliseconds. */
const REPORT_LIFETIME_MS = 5_000;

/** What all hosts together want of one model or adapter. */
export interface Need {
  readonly target: string;
  readonly waiting: number;
  readonly running: number;
  /** When the earliest deadline among the waiting passes. */
  readonly deadlineMs: number;
  /** Whether idle models may be evicted for it. */
  readonly evicts: boolean;
}

/** What one host reported. */
interface Report {
  readonly receivedMs: number;
  readonly demands: readonly protocol.control.Demand[];
}

/** The demand of the whole fleet, added up from the reports of its hosts. */
export class DemandTable {
  readonly #reports = new Map<string, Report>();
  /** The sum of the reports; undefined when they have changed. */
  #sum: ReadonlyMap<string, Need> | undefined;
  /** When the oldest report in the sum no longer counts. */
  #sumEndsMs = 0;

  /** Replaces the report of a host. */
  report(
    host: string,
    demands: readonly protocol.control.Demand[],
    nowMs: number,
  ): void {
    this.#reports.set(host, { receivedMs: nowMs, demands });
    this.#sum = undefined;
  }

  remove(host: string): void {
    this.#reports.delete(host);
    this.#sum = undefined;
  }

  /** The need of one target; undefined if it is zero. */
  of(target: string, nowMs: number): Need | undefined {
    return this.#added(nowMs).get(target);
  }

  /** The needs that are not zero, those with the earliest deadline first. */
  needs(nowMs: number): Need[] {
    return [...this.#added(nowMs).values()].sort(byUrgency);
  }

  /** Adds up the reports, if that was not done since the last change. */
  #added(nowMs: number): ReadonlyMap<string, Need> {
    if (this.#sum !== undefined && nowMs <= this.#sumEndsMs) return this.#sum;
    const byTarget = new Map<string, Need>();
    let endsMs = Infinity;
    for (const [host, report] of this.#reports) {
      if (nowMs - report.receivedMs > REPORT_LIFETIME_MS) {
        this.#reports.delete(host);
        continue;
      }
      endsMs = Math.min(endsMs, report.receivedMs + REPORT_LIFETIME_MS);
      for (const demand of report.demands) {
        if (demand.waiting + demand.running === 0) continue;
        const need = needOf(demand, report.receivedMs);
        byTarget.set(need.target, sum(byTarget.get(need.target), need));
      }
    }
    this.#sum = byTarget;
    this.#sumEndsMs = endsMs;
    return byTarget;
  }
}

/** Adds the needs of a model and of its adapters. */
export function baseNeeds(needs: readonly Need[]): Map<string, Need> {
  const byBase = new Map<string, Need>();
  for (const need of needs) {
    const target = types.baseOf(need.target);
    byBase.set(target, sum(byBase.get(target), { ...need, target }));
  }
  return byBase;
}

/** Orders needs: the earliest deadline first, then by name. */
export function byUrgency(a: Need, b: Need): number {
  if (a.deadlineMs !== b.deadlineMs) return a.deadlineMs - b.deadlineMs;
  return a.target < b.target ? -1 : 1;
}

function needOf(demand: protocol.control.Demand, receivedMs: number): Need {
  return {
    target: demand.target,
    waiting: demand.waiting,
    running: demand.running,
    deadlineMs: demand.waiting > 0
      ? receivedMs + demand.earliestDeadlineMs
      : Number.MAX_SAFE_INTEGER,
    evicts: true,
  };
}

/** Adds two needs of one target. */
export function sum(a: Need | undefined, b: Need): Need {
  if (a === undefined) return b;
  return {
    target: b.target,
    waiting: a.waiting + b.waiting,
    running: a.running + b.running,
    deadlineMs: Math.min(a.deadlineMs, b.deadlineMs),
    evicts: a.evicts || b.evicts,
  };
}
