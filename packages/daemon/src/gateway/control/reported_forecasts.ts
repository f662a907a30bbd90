/**
 * Tells entry hosts when the models are ready that their requests wait for, and
 * what that follows from.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import type * as loadScheduler from "./load_scheduler.ts";
import type * as orderExecutor from "./order_executor.ts";

/**
 * Age from which on copies are counted anew, in milliseconds: the shortest
 * interval of a host's reports. It bounds the work where many hosts report.
 */
const MAX_COUNT_AGE_MS = 250;

/** What the forecasts are made from. */
export interface ForecastSources {
  readonly scheduler: Pick<
    loadScheduler.LoadScheduler,
    "isPlanned" | "readyMs" | "round"
  >;
  readonly executor: Pick<orderExecutor.OrderExecutor, "status">;
  readonly registry: Pick<core.gateway.ServerRegistry, "activeServers">;
}

/** Copies of all models as they were counted at a monotonic time, in ms. */
type CountedCopies = {
  readonly countedAt: number;
  /** Round of the planner after which they were: it orders loads. */
  readonly round: number;
  /** By service and model. */
  readonly byModel: ReadonlyMap<
    string,
    ReadonlyMap<string, gateway.ModelCopies>
  >;
};

/** Forecasts for the models that hosts' requests wait for. */
export class ReportedForecasts {
  readonly #sources: ForecastSources;
  #counted: CountedCopies | undefined;

  constructor(sources: ForecastSources) {
    this.#sources = sources;
  }

  /** Forecasts for the models that one host's requests wait for. */
  answer(
    { demand }: Pick<gateway.ReportRequest, "demand">,
    now: number,
  ): gateway.LoadForecast[] {
    const forecasts = new Map<string, gateway.LoadForecast>();
    for (const { model, service, slacksMs } of demand) {
      if (slacksMs.length === 0) continue;
      const readyMs = this.#sources.scheduler.readyMs(service, model, now);
      if (readyMs === undefined) continue;
      const copies = this.#copiesOf(service, model, now);
      forecasts.set(`${service} ${model}`, { service, model, readyMs, copies });
    }
    return [...forecasts.values()];
  }

  #copiesOf(service: string, model: string, now: number): gateway.ModelCopies {
    const { scheduler } = this.#sources;
    const copies = this.#count(now).get(service)?.get(model) ??
      core.gateway.NO_COPIES;
    const planned = scheduler.isPlanned(service, model) ? 1 : 0;
    return { ...copies, loading: Math.max(copies.loading, planned) };
  }

  #count(now: number): CountedCopies["byModel"] {
    const { executor, registry, scheduler: { round } } = this.#sources;
    const isCurrent = this.#counted?.round === round &&
      now - this.#counted.countedAt < MAX_COUNT_AGE_MS;
    if (this.#counted !== undefined && isCurrent) return this.#counted.byModel;
    const holders = new Map<string, core.gateway.CopyHolder[]>();
    for (const server of registry.activeServers()) {
      const { inMemory, models, onDisk, service } = server;
      const { loading } = executor.status(server, now);
      const known = holders.get(service) ?? [];
      known.push({ inMemory, models, onDisk, loading });
      holders.set(service, known);
    }
    const byModel = new Map(
      [...holders].map(([service, of]) =>
        [service, core.gateway.countCopies(of)] as const
      ),
    );
    this.#counted = { countedAt: now, round, byModel };
    return byModel;
  }
}
