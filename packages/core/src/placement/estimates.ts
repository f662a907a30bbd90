import type * as types from "./types.ts";

/** Time of a load that does not depend on its size, in milliseconds. */
const BASE_MS = 20;
/** Least weight of the newest observation; the first ones weigh more. */
const WEIGHT = 0.3;
/** Adapters are loaded in this time until one was observed. */
const DEFAULT_ADAPTER_MS = 20;
/** Bytes per millisecond until a load was observed. */
const DEFAULT_RATES: Record<types.WeightSource, number> = {
  memory: 10_000_000,
  disk: 2_000_000,
  store: 1_000_000,
};

/** What loads from one place have shown. */
interface Observed {
  readonly count: number;
  /** Bytes per millisecond. */
  readonly rate: number;
}

/**
 * Learns from observed loads how long a load takes from each place. A place
 * that was not observed keeps its lead over one that is farther away: a disk
 * is not slower than a store that turned out to be fast.
 *
 * @example
 * ```ts
 * estimates.observe("disk", bytes, durationMs);
 * const ms = estimates.load("disk", bytes);
 * ```
 */
export class LoadTimeEstimator {
  readonly #observed = new Map<types.WeightSource, Observed>();
  #adapterMs = DEFAULT_ADAPTER_MS;

  /** Expected load time of a model, in milliseconds. */
  modelLoadMs(place: types.WeightSource, bytes: number): number {
    return BASE_MS + bytes / this.#rate(place);
  }

  /** Expected load time of an adapter, in milliseconds. */
  adapterLoadMs(): number {
    return this.#adapterMs;
  }

  observeModelLoad(
    place: types.WeightSource,
    bytes: number,
    durationMs: number,
  ): void {
    if (bytes <= 0) return;
    const rate = bytes / Math.max(1, durationMs - BASE_MS);
    const known = this.#observed.get(place) ?? { count: 0, rate };
    const count = known.count + 1;
    const weight = Math.max(WEIGHT, 1 / count);
    const mean = (1 - weight) * Math.log(known.rate) +
      weight * Math.log(rate);
    this.#observed.set(place, { count, rate: Math.exp(mean) });
  }

  #rate(place: types.WeightSource): number {
    const known = this.#observed.get(place);
    if (known !== undefined) return known.rate;
    const factors = [...this.#observed]
      .filter(([other]) => DEFAULT_RATES[other] < DEFAULT_RATES[place])
      .map(([other, { rate }]) => rate / DEFAULT_RATES[other]);
    return DEFAULT_RATES[place] * Math.max(1, ...factors);
  }

  observeAdapterLoad(durationMs: number): void {
    this.#adapterMs = (1 - WEIGHT) * this.#adapterMs + WEIGHT * durationMs;
  }
}
