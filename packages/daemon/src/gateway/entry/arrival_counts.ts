/**
 * Counts the requests that arrive for models, for reports to the leader.
 *
 * @module
 */
import type * as types from "./types.ts";

/** Number of requests that arrived for a model or one of its adapters. */
export type ArrivalCount = {
  readonly service: string;
  readonly model: string;
  readonly adapter: string | undefined;
  count: number;
  /** How many of their callers came back. */
  returned: number;
};

/**
 * Admitted requests since the last report.
 *
 * @example
 * ```ts
 * arrivals.add(context, callers.recordArrival(context, performance.now()));
 * for (const { count, model } of arrivals.take()) report(model, count);
 * ```
 */
export class ArrivalCounts {
  #counts = new Map<string, ArrivalCount>();

  /** Counts a request; returns false if it is for no model. */
  add(
    { metadata: { adapter, model }, service }: types.RequestContext,
    isReturning: boolean,
  ): boolean {
    if (service.engine === undefined || model === undefined) return false;
    const key = `${service.name} ${model} ${adapter ?? ""}`;
    const arrivals = this.#counts.get(key) ??
      { service: service.name, model, adapter, count: 0, returned: 0 };
    arrivals.count += 1;
    if (isReturning) arrivals.returned += 1;
    this.#counts.set(key, arrivals);
    return true;
  }

  /** The counts, which begin anew. */
  take(): readonly ArrivalCount[] {
    const counts = [...this.#counts.values()];
    this.#counts = new Map();
    return counts;
  }
}
