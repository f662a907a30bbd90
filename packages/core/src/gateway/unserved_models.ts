import * as types from "./load_planner_types.ts";

/** Time after the last request for a model at which it is forgotten, in ms. */
const FORGET_MS = 10_000;

/**
 * Remembers since when requests for each model and adapter were not served. A
 * caller that is refused leaves no waiting request behind, so the age of waiting
 * requests alone doesn't show that a model is asked for again and again.
 *
 * Answers rare models that lose against those with more requests each time.
 *
 * @example
 * ```ts
 * unserved.update(demand, servers, lastRequestedAt, now);
 * unserved.ages(now).get("advice-7/a3"); // 9_200
 * ```
 */
export class UnservedModels {
  /** Time of the first request that was not served, by model or adapter. */
  readonly #since = new Map<string, number>();

  /**
   * @param lastRequestedAt by model and `model/adapter`, in monotonic ms
   * @param now monotonic time, in milliseconds
   */
  update(
    demand: readonly types.AggregateDemand[],
    servers: readonly types.PlannerServer[],
    lastRequestedAt: ReadonlyMap<string, number>,
    now: number,
  ): void {
    for (const { adapter, model } of demand) {
      const key = types.demandKey(model, adapter);
      if (!this.#since.has(key)) this.#since.set(key, now);
    }
    for (const { running } of servers) {
      for (const [key, count] of running) {
        if (count > 0) this.#since.delete(key);
      }
    }
    for (const key of this.#since.keys()) {
      const requestedAt = lastRequestedAt.get(key) ?? -Infinity;
      if (now - requestedAt > FORGET_MS) this.#since.delete(key);
    }
  }

  /** Time since the first request that was not served, in milliseconds. */
  ages(now: number): ReadonlyMap<string, number> {
    return new Map(
      [...this.#since].map(([key, since]) => [key, now - since]),
    );
  }
}
