import type { gateway } from "@ebonypath/protocol";
import { adapterKey, type AggregateDemand } from "./load_planner_types.ts";

const SECOND_MS = 1_000;
/** Time over which arrivals and concurrency are averaged, in milliseconds. */
const AVERAGE_MS = 8_000;
/** Age at which a report of a host no longer counts, in milliseconds. */
const REPORT_LIFETIME_MS = 2_000;
/** Rate below which a model counts as not wanted, per second. */
const NEGLIGIBLE_PER_SECOND = 0.001;

/** What is known of the demand for one model or adapter. */
type Record = {
  readonly service: string;
  readonly model: string;
  readonly adapter: string | undefined;
  perSecond: number;
  concurrency: number;
  updatedAt: number;
};

/** The last report of one host. */
type HostReport = {
  readonly report: gateway.ReportRequest;
  readonly at: number;
};

/**
 * What all entry hosts want of each model, from their reports.
 *
 * @example
 * ```ts
 * book.take(report, now);
 * const needs = book.needs("advice", now);
 * ```
 */
export class DemandTracker {
  readonly #reports = new Map<string, HostReport>();
  readonly #records = new Map<string, Record>();
  /** When each model was last asked for, by model and `model/adapter`. */
  readonly lastRequestedAt = new Map<string, number>();

  /** Takes a report; the one before it of the same host is replaced. */
  addReport(report: gateway.ReportRequest, now: number): void {
    for (const demand of report.demand) {
      const record = this.#recordOf(demand, now);
      this.#decay(record, now);
      record.perSecond += demand.arrivals * SECOND_MS / AVERAGE_MS;
      const { arrivals, running, slacksMs } = demand;
      if (slacksMs.length + running + arrivals === 0) continue;
      this.lastRequestedAt.set(demand.model, now);
      if (demand.adapter !== undefined) {
        this.lastRequestedAt.set(adapterKey(demand.model, demand.adapter), now);
      }
    }
    this.#reports.set(report.host, { report, at: now });
  }

  /** Reports of hosts that were heard lately. */
  recentReports(now: number): gateway.ReportRequest[] {
    for (const [host, { at }] of this.#reports) {
      if (now - at > REPORT_LIFETIME_MS) this.#reports.delete(host);
    }
    return [...this.#reports.values()].map(({ report }) => report);
  }

  /** What requests want of the models of a service. */
  aggregate(service: string, now: number): AggregateDemand[] {
    const reported = new Map<string, gateway.ModelDemand[]>();
    for (
      const demand of this.recentReports(now).flatMap((report) => report.demand)
    ) {
      const key = keyOf(demand);
      reported.set(key, [...reported.get(key) ?? [], demand]);
    }
    const needs: AggregateDemand[] = [];
    for (const [key, record] of this.#records) {
      if (record.service !== service) continue;
      const demands = reported.get(key) ?? [];
      const slacksMs = demands.flatMap((one) => one.slacksMs);
      const active = slacksMs.length + sum(demands.map((one) => one.running));
      this.#average(record, active, now);
      const isNegligible = active === 0 &&
        record.perSecond < NEGLIGIBLE_PER_SECOND;
      if (isNegligible) this.#records.delete(key);
      needs.push({
        model: record.model,
        adapter: record.adapter,
        slacksMs,
        arrivalsPerSecond: record.perSecond,
        concurrency: record.concurrency,
      });
    }
    return needs;
  }

  #recordOf(demand: gateway.ModelDemand, now: number): Record {
    const key = keyOf(demand);
    const { adapter, model, service } = demand;
    const known = this.#records.get(key) ??
      {
        service,
        model,
        adapter,
        perSecond: 0,
        concurrency: 0,
        updatedAt: now,
      };
    this.#records.set(key, known);
    return known;
  }

  #decay(record: Record, now: number): void {
    this.#average(record, record.concurrency, now);
  }

  #average(record: Record, active: number, now: number): void {
    const kept = Math.exp(-(now - record.updatedAt) / AVERAGE_MS);
    record.perSecond *= kept;
    record.concurrency = record.concurrency * kept + active * (1 - kept);
    record.updatedAt = now;
  }
}

function keyOf({ adapter, model, service }: gateway.ModelDemand): string {
  return `${service} ${
    adapter === undefined ? model : adapterKey(model, adapter)
  }`;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
