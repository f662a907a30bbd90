/**
 * What the leader has last forecast of models that requests wait for, and the
 * inputs of a refusal.
 *
 * @module
 */
import { suspicion } from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import type * as log from "../../log/mod.ts";
import type * as fleetView from "./fleet_view.ts";
import type * as types from "./types.ts";

/** Models whose forecasts are remembered. */
const MAX_FORECASTS = 256;

/** A forecast and the monotonic time at which the leader was asked, in ms. */
export type KnownForecast = {
  readonly forecast: gateway.LoadForecast;
  readonly toldAt: number;
};

/** The last forecasts of the leader, by service and model. */
export class ForecastView {
  readonly #known = new Map<string, KnownForecast>();

  /** @param toldAt monotonic time of the question to the leader, in ms */
  apply(forecasts: readonly gateway.LoadForecast[], toldAt: number): void {
    for (const forecast of forecasts) {
      const key = `${forecast.service} ${forecast.model}`;
      suspicion.setNewest(
        this.#known,
        key,
        { forecast, toldAt },
        MAX_FORECASTS,
      );
    }
  }

  /** The last forecast for a model, however old. */
  of(service: string, model: string): KnownForecast | undefined {
    return this.#known.get(`${service} ${model}`);
  }

  /**
   * What a refusal follows from: the copies of the model and the orders for it,
   * as this host and the leader know them, and the ages of that knowledge.
   */
  describe(
    { metadata: { adapter, model }, service }: types.RequestContext,
    view: fleetView.FleetView,
    now: number,
  ): log.Fields {
    const known = model === undefined
      ? undefined
      : this.of(service.name, model);
    const ready = view.readyServers(service.name);
    const loaded = ready.flatMap(({ record }) =>
      record.models.filter(({ name }) => name === model)
    );
    return {
      servers_ready: ready.length,
      loaded: service.engine === undefined ? undefined : loaded.length,
      with_adapter: adapter === undefined
        ? undefined
        : loaded.filter(({ adapters }) => adapters.includes(adapter)).length,
      in_memory: known?.forecast.copies?.inMemory,
      on_disk: known?.forecast.copies?.onDisk,
      loading: known?.forecast.copies?.loading,
      ready_ms: known === undefined
        ? undefined
        : Math.round(known.forecast.readyMs),
      forecast_age_ms: known === undefined
        ? undefined
        : Math.round(now - known.toldAt),
      view_age_ms: Number.isFinite(view.lastResponseAt)
        ? Math.round(now - view.lastResponseAt)
        : undefined,
      term: view.term,
    };
  }
}
