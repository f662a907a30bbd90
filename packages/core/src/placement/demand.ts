import type * as protocol from "@ebonypath/protocol";
import * as types from "./types.ts";

/** Age above which the report of a host no longer counts, in milliseconds. */
const REPORT_VALIDITY_MS = 5_000;

/** Demand of all hosts for one model, adapter or plain service. */
export interface TargetDemand {
  readonly target: string;
  readonly waiting: number;
  readonly running: number;
  /** Earliest deadline of the waiting requests. */
  readonly deadlineMs: number;
  /** Whether idle models may be evicted to make room for the target. */
  readonly mayEvict: boolean;
}

interface HostReport {
  readonly receivedMs: number;
  readonly demands: readonly protocol.control.Demand[];
}

/** Aggregates the demand reports of all hosts. */
export class DemandAggregator {
  readonly #reports = new Map<string, HostReport>();
  /** Cached aggregate; undefined after a report has changed. */
  #aggregate: ReadonlyMap<string, TargetDemand> | undefined;
  /** Time at which the oldest report in the aggregate expires. */
  #aggregateValidUntilMs = 0;

  /** Replaces the previous report of the host. */
  report(
    host: string,
    demands: readonly protocol.control.Demand[],
    nowMs: number,
  ): void {
    this.#reports.set(host, { receivedMs: nowMs, demands });
    this.#aggregate = undefined;
  }

  remove(host: string): void {
    this.#reports.delete(host);
    this.#aggregate = undefined;
  }

  /** Demand for one target; undefined if there is none. */
  get(target: string, nowMs: number): TargetDemand | undefined {
    return this.#aggregated(nowMs).get(target);
  }

  /** Targets with demand, earliest deadline first. */
  list(nowMs: number): TargetDemand[] {
    return [...this.#aggregated(nowMs).values()].sort(compareByDeadline);
  }

  /** Returns the cached aggregate while it is valid, else computes it. */
  #aggregated(nowMs: number): ReadonlyMap<string, TargetDemand> {
    if (
      this.#aggregate !== undefined && nowMs <= this.#aggregateValidUntilMs
    ) return this.#aggregate;
    const byTarget = new Map<string, TargetDemand>();
    let validUntilMs = Infinity;
    for (const [host, report] of this.#reports) {
      if (nowMs - report.receivedMs > REPORT_VALIDITY_MS) {
        this.#reports.delete(host);
        continue;
      }
      validUntilMs = Math.min(
        validUntilMs,
        report.receivedMs + REPORT_VALIDITY_MS,
      );
      for (const demand of report.demands) {
        if (demand.waiting + demand.running === 0) continue;
        const entry = targetDemandOf(demand, report.receivedMs);
        byTarget.set(
          entry.target,
          addDemand(byTarget.get(entry.target), entry),
        );
      }
    }
    this.#aggregate = byTarget;
    this.#aggregateValidUntilMs = validUntilMs;
    return byTarget;
  }
}

/** Adds the demand for adapters to the demand for their base models. */
export function aggregateByBaseModel(
  demands: readonly TargetDemand[],
): Map<string, TargetDemand> {
  const byBase = new Map<string, TargetDemand>();
  for (const demand of demands) {
    const target = types.baseModelOf(demand.target);
    byBase.set(target, addDemand(byBase.get(target), { ...demand, target }));
  }
  return byBase;
}

/** Sort order: earliest deadline first, then by target name. */
export function compareByDeadline(a: TargetDemand, b: TargetDemand): number {
  if (a.deadlineMs !== b.deadlineMs) return a.deadlineMs - b.deadlineMs;
  return a.target < b.target ? -1 : 1;
}

function targetDemandOf(
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

/** Adds up two demands for the same target. */
export function addDemand(
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
