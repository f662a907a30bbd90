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
  readonly scheduler: Pick<loadScheduler.LoadScheduler, "readyMs">;
  readonly executor: Pick<orderExecutor.OrderExecutor, "status">;
  readonly registry: Pick<core.gateway.ServerRegistry, "activeServers">;
}

/** Copies of models as they were counted at a monotonic time, in ms. */
type CountedCopies = {
  readonly countedAt: number;
  readonly byModel: Map<string, gateway.ModelCopies>;
};

/** Forecasts for the models that hosts' requests wait for. */
export class ReportedForecasts {
  readonly #sources: ForecastSources;
  /** By service. */
  readonly #counted = new Map<string, CountedCopies>();

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

  #copiesOf(
    service: string,
    model: string,
    now: number,
  ): gateway.ModelCopies {
    const last = this.#counted.get(service);
    const isCurrent = last !== undefined &&
      now - last.countedAt < MAX_COUNT_AGE_MS;
    const { byModel } = isCurrent
      ? last
      : { byModel: new Map<string, gateway.ModelCopies>() };
    if (!isCurrent) this.#counted.set(service, { countedAt: now, byModel });
    const known = byModel.get(model);
    if (known !== undefined) return known;
    const { executor, registry } = this.#sources;
    const holders = registry.activeServers()
      .filter((server) => server.service === service)
      .map((server) => ({
        ...server,
        loading: executor.status(server, now).loading,
      }));
    const copies = core.gateway.countCopies(holders, model);
    byModel.set(model, copies);
    return copies;
  }
}
