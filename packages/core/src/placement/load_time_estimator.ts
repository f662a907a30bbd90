import type * as types from "./types.ts";

/** Fixed part of a load, independent of its size, in milliseconds. */
const LOAD_OVERHEAD_MS = 20;
/** Lower bound of the newest observation's weight; the first ones get more. */
const MIN_OBSERVATION_WEIGHT = 0.3;
/** Adapter load time before the first observation, in milliseconds. */
const DEFAULT_ADAPTER_MS = 20;
/** Bytes per millisecond of each source before the first observation. */
const DEFAULT_RATES: Record<types.WeightSource, number> = {
  memory: 10_000_000,
  disk: 2_000_000,
  store: 1_000_000,
};

interface ObservedRate {
  /** Number of observed loads. */
  readonly count: number;
  /** Bytes per millisecond. */
  readonly rate: number;
}

/**
 * Estimates load times from observed loads, per weight source. A source
 * without observations keeps its default ratio to slower sources that were
 * observed to be faster than their default: a disk is never estimated to be
 * slower than a fast store.
 *
 * @example
 * ```ts
 * loadTimes.observeModelLoad("disk", bytes, durationMs);
 * const ms = loadTimes.modelLoadMs("disk", bytes);
 * ```
 */
export class LoadTimeEstimator {
  readonly #observed = new Map<types.WeightSource, ObservedRate>();
  #adapterMs = DEFAULT_ADAPTER_MS;

  /** Expected load time of a model, in milliseconds. */
  modelLoadMs(source: types.WeightSource, bytes: number): number {
    return LOAD_OVERHEAD_MS + bytes / this.#rate(source);
  }

  /** Expected load time of an adapter, in milliseconds. */
  adapterLoadMs(): number {
    return this.#adapterMs;
  }

  observeModelLoad(
    source: types.WeightSource,
    bytes: number,
    durationMs: number,
  ): void {
    if (bytes <= 0) return;
    const rate = bytes / Math.max(1, durationMs - LOAD_OVERHEAD_MS);
    const previous = this.#observed.get(source) ?? { count: 0, rate };
    const count = previous.count + 1;
    const weight = Math.max(MIN_OBSERVATION_WEIGHT, 1 / count);
    const mean = (1 - weight) * Math.log(previous.rate) +
      weight * Math.log(rate);
    this.#observed.set(source, { count, rate: Math.exp(mean) });
  }

  #rate(source: types.WeightSource): number {
    const observed = this.#observed.get(source);
    if (observed !== undefined) return observed.rate;
    const factors = [...this.#observed]
      .filter(([other]) => DEFAULT_RATES[other] < DEFAULT_RATES[source])
      .map(([other, { rate }]) => rate / DEFAULT_RATES[other]);
    return DEFAULT_RATES[source] * Math.max(1, ...factors);
  }

  observeAdapterLoad(durationMs: number): void {
    this.#adapterMs = (1 - MIN_OBSERVATION_WEIGHT) * this.#adapterMs +
      MIN_OBSERVATION_WEIGHT * durationMs;
  }
}
