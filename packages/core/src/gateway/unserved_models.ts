import * as types from "./load_planner_types.ts";

/**
 * Time after the last request for a model at which it is forgotten, in
 * milliseconds. Callers of a rare model come far apart.
 */
const FORGET_MS = 60_000;

/**
 * Most models and adapters that are remembered: callers may ask for any names.
 * About the number of adapters of a large deployment.
 */
const MAX_MODELS = 16_384;

/** A model or adapter that is unserved no more, and why. */
export type UnservedEnd = {
  readonly key: string;
  readonly ageMs: number;
  readonly outcome: "served" | "forgotten";
};

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
   * Adds the demand of a round; returns what was served or forgotten since the
   * last one.
   *
   * @param lastRequestedAt by model and `model/adapter`, in monotonic ms
   * @param now monotonic time, in milliseconds
   */
  update(
    demand: readonly types.AggregateDemand[],
    servers: readonly types.PlannerServer[],
    lastRequestedAt: ReadonlyMap<string, number>,
    now: number,
  ): UnservedEnd[] {
    for (const { adapter, model } of demand) {
      const key = types.demandKey(model, adapter);
      const isNew = !this.#since.has(key) && this.#since.size < MAX_MODELS;
      if (isNew) this.#since.set(key, now);
    }
    const served = servers.flatMap(({ running }) =>
      [...running].filter(([, count]) => count > 0).map(([key]) => key)
    );
    const forgotten = [...this.#since.keys()].filter((key) =>
      now - (lastRequestedAt.get(key) ?? -Infinity) > FORGET_MS
    );
    return [
      ...this.#end(served, "served", now),
      ...this.#end(forgotten, "forgotten", now),
    ];
  }

  /** Time since the first request that was not served, in milliseconds. */
  ages(now: number): ReadonlyMap<string, number> {
    return new Map(
      [...this.#since].map(([key, since]) => [key, now - since]),
    );
  }

  #end(
    keys: readonly string[],
    outcome: UnservedEnd["outcome"],
    now: number,
  ): UnservedEnd[] {
    const ends: UnservedEnd[] = [];
    for (const key of keys) {
      const since = this.#since.get(key);
      if (since === undefined) continue;
      this.#since.delete(key);
      ends.push({ key, ageMs: now - since, outcome });
    }
    return ends;
  }
}
