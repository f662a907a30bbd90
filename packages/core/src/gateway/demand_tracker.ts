import type { gateway } from "@ebonypath/protocol";
import { adapterKey, type AggregateDemand } from "./load_planner_types.ts";

const SECOND_MS = 1_000;
/** Time constant of the averages of arrivals and concurrency, in ms. */
const AVERAGE_MS = 8_000;
/** Time without a message after which a host's report is dropped, in ms. */
const REPORT_LIFETIME_MS = 3_000;
/** Arrival rate below which an idle model is forgotten, per second. */
const NEGLIGIBLE_PER_SECOND = 0.001;
/** Time after which a caller that is overdue is not expected any more, in ms. */
const OVERDUE_MS = 2_000;

/** Time for which a caller that came back counts as one of those due, in ms. */
const CAME_MS = 1_000;

/** The parts of a report that describe demand. */
export type DemandReport = Pick<
  gateway.ReportRequest,
  "host" | "demand" | "load"
>;

/** Waiting requests of one host, as of its last report. */
type WaitingRequests = {
  readonly slacksMs: readonly number[];
  readonly returningMs: readonly number[];
  readonly at: number;
};

/** Callers that came back, and the monotonic time at which that was told. */
type CameBack = { readonly count: number; readonly at: number };

/** Demand for one model or adapter. */
type DemandRecord = {
  cameBack: readonly CameBack[];
  readonly service: string;
  readonly model: string;
  readonly adapter: string | undefined;
  readonly softwareVersion: string | undefined;
  readonly waiting: Map<string, WaitingRequests>;
  running: number;
  arrivalsPerSecond: number;
  concurrency: number;
  updatedAt: number;
};

/** The last report of one host. */
type HostReport = {
  readonly report: DemandReport;
  /** Time of the last message of the host. */
  heardAt: number;
};

/** Requests in progress on one server. */
type ServerRecord = {
  total: number;
  unreadTokens: number;
  reservedTokens: number;
  /** By model and by `model/adapter`. */
  readonly byModel: Map<string, number>;
};

/**
 * Aggregates the demand for each model and the load of each server from the
 * reports of all entry hosts. A report replaces the previous one of its host,
 * so the cost of a report grows with what it contains and not with the number
 * of hosts or servers.
 *
 * @example
 * ```ts
 * tracker.addReport(report, now);
 * const demand = tracker.aggregate("advice", now);
 * ```
 */
export class DemandTracker {
  readonly #hosts = new Map<string, HostReport>();
  readonly #records = new Map<string, DemandRecord>();
  readonly #servers = new Map<string, ServerRecord>();
  /** Time of the last demand for each model, by model and `model/adapter`. */
  readonly lastRequestedAt = new Map<string, number>();

  /** Number of hosts that were heard of lately. */
  get hostCount(): number {
    return this.#hosts.size;
  }

  /** Adds a report, which replaces the previous one of the same host. */
  addReport(report: DemandReport, now: number): void {
    const previous = this.#hosts.get(report.host)?.report;
    if (previous !== undefined) this.#remove(previous, now);
    this.#hosts.set(report.host, { report, heardAt: now });
    for (const demand of report.demand) {
      const { arrivals, returned, returningMs = [], running, slacksMs } =
        demand;
      const record = this.#recordFor(demand, now);
      this.#average(record, now);
      record.arrivalsPerSecond += arrivals * SECOND_MS / AVERAGE_MS;
      record.running += running;
      if (returned !== undefined) {
        record.cameBack = [
          ...lately(record.cameBack, now),
          { count: returned, at: now },
        ];
      }
      if (slacksMs.length > 0) {
        record.waiting.set(report.host, { slacksMs, returningMs, at: now });
      }
      if (slacksMs.length + running + arrivals === 0) continue;
      this.lastRequestedAt.set(demand.model, now);
      if (demand.adapter !== undefined) {
        this.lastRequestedAt.set(adapterKey(demand.model, demand.adapter), now);
      }
    }
    for (const load of report.load) this.#addLoad(load, 1);
  }

  /** Records that a host is alive and has nothing new to report. */
  touch(host: string, now: number): void {
    const known = this.#hosts.get(host);
    if (known !== undefined) known.heardAt = now;
  }

  /** Drops the reports of hosts that have been silent; returns their names. */
  expire(now: number): string[] {
    const expired = [...this.#hosts]
      .filter(([, { heardAt }]) => now - heardAt > REPORT_LIFETIME_MS)
      .map(([host]) => host);
    for (const host of expired) {
      const report = this.#hosts.get(host)?.report;
      this.#hosts.delete(host);
      if (report !== undefined) this.#remove(report, now);
    }
    return expired;
  }

  /** Requests in progress on a server, over all hosts. */
  loadOf(server: string): number {
    return this.#servers.get(server)?.total ?? 0;
  }

  /** Prompt tokens to read and tokens in use on a server, over all hosts. */
  tokensOn(server: string): { unreadTokens: number; reservedTokens: number } {
    const { reservedTokens = 0, unreadTokens = 0 } =
      this.#servers.get(server) ?? {};
    return { unreadTokens, reservedTokens };
  }

  /** Requests in progress on a server, by model and by `model/adapter`. */
  runningOn(server: string): ReadonlyMap<string, number> {
    return this.#servers.get(server)?.byModel ?? new Map();
  }

  /** Demand of all hosts for each model and adapter of a service. */
  aggregate(service: string, now: number): AggregateDemand[] {
    const aggregates: AggregateDemand[] = [];
    for (const [key, record] of this.#records) {
      if (record.service !== service) continue;
      this.#average(record, now);
      const isNegligible = record.running + record.waiting.size === 0 &&
        record.arrivalsPerSecond < NEGLIGIBLE_PER_SECOND;
      if (isNegligible) this.#records.delete(key);
      const returningMs = currentReturns(record, now);
      aggregates.push({
        model: record.model,
        adapter: record.adapter,
        softwareVersion: record.softwareVersion,
        slacksMs: [...currentSlacks(record, now), ...returningMs],
        returningMs,
        arrivalsPerSecond: record.arrivalsPerSecond,
        concurrency: record.concurrency,
      });
    }
    return aggregates;
  }

  /** Removes what a report has added; averages stay. */
  #remove({ demand, host, load }: DemandReport, now: number): void {
    for (const one of demand) {
      const record = this.#records.get(keyOf(one));
      if (record === undefined) continue;
      this.#average(record, now);
      record.running -= one.running;
      record.waiting.delete(host);
    }
    for (const one of load) this.#addLoad(one, -1);
  }

  #addLoad(
    { adapter, model, running, server, ...tokens }: gateway.ServerLoad,
    sign: 1 | -1,
  ): void {
    const byModel = new Map<string, number>();
    const record = this.#servers.get(server) ??
      { total: 0, unreadTokens: 0, reservedTokens: 0, byModel };
    this.#servers.set(server, record);
    const change = sign * running;
    record.total += change;
    record.unreadTokens += sign * (tokens.unreadTokens ?? 0);
    record.reservedTokens += sign * (tokens.reservedTokens ?? 0);
    if (model !== undefined) {
      addCount(record.byModel, model, change);
      if (adapter !== undefined) {
        addCount(record.byModel, adapterKey(model, adapter), change);
      }
    }
    if (record.total <= 0 && record.byModel.size === 0) {
      this.#servers.delete(server);
    }
  }

  #recordFor(demand: gateway.ModelDemand, now: number): DemandRecord {
    const key = keyOf(demand);
    const { adapter, model, service, softwareVersion } = demand;
    const record = this.#records.get(key) ??
      {
        service,
        model,
        adapter,
        softwareVersion,
        cameBack: [],
        waiting: new Map(),
        running: 0,
        arrivalsPerSecond: 0,
        concurrency: 0,
        updatedAt: now,
      };
    this.#records.set(key, record);
    return record;
  }

  #average(record: DemandRecord, now: number): void {
    const retained = Math.exp(-(now - record.updatedAt) / AVERAGE_MS);
    const active = record.running + waitingCount(record);
    record.arrivalsPerSecond *= retained;
    record.concurrency = record.concurrency * retained +
      active * (1 - retained);
    record.updatedAt = now;
  }
}

function waitingCount({ waiting }: DemandRecord): number {
  let count = 0;
  for (const { slacksMs } of waiting.values()) count += slacksMs.length;
  return count;
}

/**
 * Slacks of waiting requests, less the time since they were reported. Hosts name
 * callers that come back among them, too, for leaders of earlier builds.
 */
function currentSlacks({ waiting }: DemandRecord, now: number): number[] {
  const slacks: number[] = [];
  for (const { at, returningMs, slacksMs } of waiting.values()) {
    const returning = new Map<number, number>();
    for (const dueMs of returningMs) {
      returning.set(dueMs, (returning.get(dueMs) ?? 0) + 1);
    }
    for (const slackMs of slacksMs) {
      const count = returning.get(slackMs) ?? 0;
      if (count > 0) returning.set(slackMs, count - 1);
      else slacks.push(slackMs - (now - at));
    }
  }
  return slacks;
}

/**
 * Times until callers come back, less the time since they were reported. Those
 * that came lately were due first.
 */
function currentReturns(
  { cameBack, waiting }: DemandRecord,
  now: number,
): number[] {
  const came = lately(cameBack, now)
    .reduce((sum, { count }) => sum + count, 0);
  return [...waiting.values()]
    .flatMap(({ at, returningMs }) =>
      returningMs.map((dueMs) => dueMs - (now - at))
    )
    .filter((dueMs) => dueMs > -OVERDUE_MS)
    .sort((one, other) => one - other)
    .slice(came);
}

function lately(cameBack: readonly CameBack[], now: number): CameBack[] {
  return cameBack.filter(({ at }) => now - at < CAME_MS);
}

function addCount(
  counts: Map<string, number>,
  key: string,
  change: number,
): void {
  const count = (counts.get(key) ?? 0) + change;
  if (count > 0) counts.set(key, count);
  else counts.delete(key);
}

function keyOf(
  { adapter, model, service, softwareVersion }: gateway.ModelDemand,
): string {
  const name = adapter === undefined ? model : adapterKey(model, adapter);
  const key = `${service} ${name}`;
  return softwareVersion === undefined ? key : `${key} at ${softwareVersion}`;
}
