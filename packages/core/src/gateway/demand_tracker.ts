import type { gateway } from "@ebonypath/protocol";
import { adapterKey, type AggregateDemand } from "./load_planner_types.ts";

const SECOND_MS = 1_000;
/** Time constant of the averages of arrivals and concurrency, in ms. */
const AVERAGE_MS = 8_000;
/** Age from which a host's report is ignored, in milliseconds. */
const REPORT_LIFETIME_MS = 2_000;
/** Arrival rate below which an idle model is forgotten, per second. */
const NEGLIGIBLE_PER_SECOND = 0.001;

/** Averaged demand for one model or adapter. */
type DemandRecord = {
  readonly service: string;
  readonly model: string;
  readonly adapter: string | undefined;
  arrivalsPerSecond: number;
  concurrency: number;
  updatedAt: number;
};

/** The last report of one host. */
type HostReport = {
  readonly report: gateway.ReportRequest;
  readonly at: number;
};

/**
 * Aggregates the demand for each model from the reports of all entry hosts.
 *
 * @example
 * ```ts
 * tracker.addReport(report, now);
 * const demand = tracker.aggregate("advice", now);
 * ```
 */
export class DemandTracker {
  readonly #reports = new Map<string, HostReport>();
  readonly #records = new Map<string, DemandRecord>();
  /** Time of the last demand for each model, by model and `model/adapter`. */
  readonly lastRequestedAt = new Map<string, number>();

  /** Adds a report, which replaces the previous one of the same host. */
  addReport(report: gateway.ReportRequest, now: number): void {
    for (const demand of report.demand) {
      const record = this.#recordFor(demand, now);
      this.#decay(record, now);
      record.arrivalsPerSecond += demand.arrivals * SECOND_MS / AVERAGE_MS;
      const { arrivals, running, slacksMs } = demand;
      if (slacksMs.length + running + arrivals === 0) continue;
      this.lastRequestedAt.set(demand.model, now);
      if (demand.adapter !== undefined) {
        this.lastRequestedAt.set(adapterKey(demand.model, demand.adapter), now);
      }
    }
    this.#reports.set(report.host, { report, at: now });
  }

  /** The last report of each host, unless it is too old. */
  recentReports(now: number): gateway.ReportRequest[] {
    for (const [host, { at }] of this.#reports) {
      if (now - at > REPORT_LIFETIME_MS) this.#reports.delete(host);
    }
    return [...this.#reports.values()].map(({ report }) => report);
  }

  /** Demand of all hosts for each model and adapter of a service. */
  aggregate(service: string, now: number): AggregateDemand[] {
    const reported = new Map<string, gateway.ModelDemand[]>();
    for (
      const demand of this.recentReports(now).flatMap((report) => report.demand)
    ) {
      const key = keyOf(demand);
      reported.set(key, [...reported.get(key) ?? [], demand]);
    }
    const aggregates: AggregateDemand[] = [];
    for (const [key, record] of this.#records) {
      if (record.service !== service) continue;
      const demands = reported.get(key) ?? [];
      const slacksMs = demands.flatMap((demand) => demand.slacksMs);
      const active = slacksMs.length +
        sum(demands.map((demand) => demand.running));
      this.#average(record, active, now);
      const isNegligible = active === 0 &&
        record.arrivalsPerSecond < NEGLIGIBLE_PER_SECOND;
      if (isNegligible) this.#records.delete(key);
      aggregates.push({
        model: record.model,
        adapter: record.adapter,
        slacksMs,
        arrivalsPerSecond: record.arrivalsPerSecond,
        concurrency: record.concurrency,
      });
    }
    return aggregates;
  }

  #recordFor(demand: gateway.ModelDemand, now: number): DemandRecord {
    const key = keyOf(demand);
    const { adapter, model, service } = demand;
    const record = this.#records.get(key) ??
      {
        service,
        model,
        adapter,
        arrivalsPerSecond: 0,
        concurrency: 0,
        updatedAt: now,
      };
    this.#records.set(key, record);
    return record;
  }

  #decay(record: DemandRecord, now: number): void {
    this.#average(record, record.concurrency, now);
  }

  #average(record: DemandRecord, active: number, now: number): void {
    const retained = Math.exp(-(now - record.updatedAt) / AVERAGE_MS);
    record.arrivalsPerSecond *= retained;
    record.concurrency = record.concurrency * retained +
      active * (1 - retained);
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
