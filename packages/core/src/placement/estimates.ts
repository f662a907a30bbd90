import type * as types from "./types.ts";

/** Time of a load that does not depend on its size, in milliseconds. */
const BASE_MS = 20;
/** Weight of the newest observation. */
const WEIGHT = 0.3;
/** Adapters are loaded in this time until one was observed. */
const DEFAULT_ADAPTER_MS = 20;
/** Bytes per millisecond until a load was observed. */
const DEFAULT_RATES: Record<types.Place, number> = {
  memory: 10_000_000,
  disk: 2_000_000,
  store: 1_000_000,
};

/**
 * Learns from observed loads how long a load takes from each place.
 *
 * @example
 * ```ts
 * estimates.observe("disk", bytes, durationMs);
 * const ms = estimates.load("disk", bytes);
 * ```
 */
export class Estimates {
  readonly #rates = { ...DEFAULT_RATES };
  #adapterMs = DEFAULT_ADAPTER_MS;

  /** Expected load time of a model, in milliseconds. */
  load(place: types.Place, bytes: number): number {
    return BASE_MS + bytes / this.#rates[place];
  }

  /** Expected load time of an adapter, in milliseconds. */
  adapter(): number {
    return this.#adapterMs;
  }

  observe(place: types.Place, bytes: number, durationMs: number): void {
    if (bytes <= 0) return;
    const rate = bytes / Math.max(1, durationMs - BASE_MS);
    const mean = (1 - WEIGHT) * Math.log(this.#rates[place]) +
      WEIGHT * Math.log(rate);
    this.#rates[place] = Math.exp(mean);
  }

  observeAdapter(durationMs: number): void {
    this.#adapterMs = (1 - WEIGHT) * this.#adapterMs + WEIGHT * durationMs;
  }
}
