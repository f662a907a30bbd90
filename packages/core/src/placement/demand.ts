import type * as protocol from "@ebonypath/protocol";
import * as types from "./types.ts";

/** Age from which the report of a host no longer counts, in milliseconds. */
const REPORT_LIFETIME_MS = 5_000;

/** What all hosts together want of one model or adapter. */
export interface TargetDemand {
  readonly target: string;
  readonly waiting: number;
  readonly running: number;
  /** When the earliest deadline among the waiting passes. */
  readonly deadlineMs: number;
  /** Whether idle models may be evicted for it. */
  readonly mayEvict: boolean;
}

/** What one host reported. */
interface Report {
  readonly receivedMs: number;
  readonly demands: readonly protocol.control.Demand[];
}

/** The demand of the whole fleet, added up from the reports of its hosts. */
export class DemandAggregator {
  readonly #reports = new Map<string, Report>();
  /** The sum of the reports; undefined when they have changed. */
  #sum: ReadonlyMap<string, TargetDemand> | undefined;
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
  of(target: string, nowMs: number): TargetDemand | undefined {
    return this.#added(nowMs).get(target);
  }

  /** The needs that are not zero, those with the earliest deadline first. */
  needs(nowMs: number): TargetDemand[] {
    return [...this.#added(nowMs).values()].sort(byUrgency);
  }

  /** Adds up the reports, if that was not done since the last change. */
  #added(nowMs: number): ReadonlyMap<string, TargetDemand> {
    if (this.#sum !== undefined && nowMs <= this.#sumEndsMs) return this.#sum;
    const byTarget = new Map<string, TargetDemand>();
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
export function baseNeeds(
  needs: readonly TargetDemand[],
): Map<string, TargetDemand> {
  const byBase = new Map<string, TargetDemand>();
  for (const need of needs) {
    const target = types.baseModelOf(need.target);
    byBase.set(target, sum(byBase.get(target), { ...need, target }));
  }
  return byBase;
}

/** Orders needs: the earliest deadline first, then by name. */
export function byUrgency(a: TargetDemand, b: TargetDemand): number {
  if (a.deadlineMs !== b.deadlineMs) return a.deadlineMs - b.deadlineMs;
  return a.target < b.target ? -1 : 1;
}

function needOf(
  demand: protocol.control.Demand,
  receivedMs: number,
): TargetDemand {
  return {
    target: demand.target,
    waiting: demand.waiting,
    running: demand.running,
    deadlineMs: demand.waiting > 0
      ? receivedMs + demand.earliestDeadlineMs
      : Number.MAX_SAFE_INTEGER,
    mayEvict: true,
  };
}

/** Adds two needs of one target. */
export function sum(
  a: TargetDemand | undefined,
  b: TargetDemand,
): TargetDemand {
  if (a === undefined) return b;
  return {
    target: b.target,
    waiting: a.waiting + b.waiting,
    running: a.running + b.running,
    deadlineMs: Math.min(a.deadlineMs, b.deadlineMs),
    mayEvict: a.mayEvict || b.mayEvict,
  };
}
