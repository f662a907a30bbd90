import * as timers from "node:timers/promises";

/** Limits of a weight store. */
export interface WeightStoreOptions {
  readonly loadsPerSecond?: number;
  readonly concurrentLoads?: number;
  /** Adapters in flight up to which a fetch keeps its usual time. */
  readonly adaptersInFlight?: number;
  /** Range of the usual fetch time of an adapter, in milliseconds. */
  readonly adapterMs?: readonly [number, number];
  /** Random source in [0, 1). */
  readonly random?: () => number;
}

/** A weight store with limited starts and concurrency, shared by fakes. */
export class WeightStore {
  /** Multiplies every time; above 1 the store is slow. */
  slowdown = 1;
  readonly #startIntervalMs: number;
  readonly #concurrentLoads: number;
  readonly #adaptersInFlight: number;
  readonly #adapterMs: readonly [number, number];
  readonly #random: () => number;
  readonly #waiting: Array<() => void> = [];
  #running = 0;
  #nextStartMs = 0;
  #adapters = 0;
  #loads = 0;
  #mostInFlight = 0;

  constructor(options: WeightStoreOptions = {}) {
    this.#startIntervalMs = 1_000 / (options.loadsPerSecond ?? 4);
    this.#concurrentLoads = options.concurrentLoads ?? 4;
    this.#adaptersInFlight = options.adaptersInFlight ?? 30;
    this.#adapterMs = options.adapterMs ?? [10, 30];
    this.#random = options.random ?? seededRandom(1);
  }

  /** Loads that were finished. */
  get loads(): number {
    return this.#loads;
  }

  /** Loads that run or wait. */
  get inFlight(): number {
    return this.#running + this.#waiting.length;
  }

  /** Most loads that ran or waited at once. */
  get mostInFlight(): number {
    return this.#mostInFlight;
  }

  /** Fetches a model, which takes `ms` once the store has started on it. */
  async load(ms: number, signal: AbortSignal): Promise<void> {
    const isAcquired = this.#acquire();
    this.#mostInFlight = Math.max(this.#mostInFlight, this.inFlight);
    await isAcquired;
    try {
      await this.#waitForStart(signal);
      await timers.setTimeout(ms * this.slowdown, undefined, { signal });
      this.#loads += 1;
    } finally {
      this.#release();
    }
  }

  /** Fetches an adapter; slower the more are in flight beyond the limit. */
  async loadAdapter(signal: AbortSignal): Promise<void> {
    this.#adapters += 1;
    const [least, most] = this.#adapterMs;
    const crowding = Math.max(1, this.#adapters / this.#adaptersInFlight);
    const ms = (least + this.#random() * (most - least)) * crowding ** 2;
    try {
      await timers.setTimeout(ms * this.slowdown, undefined, { signal });
    } finally {
      this.#adapters -= 1;
    }
  }

  async #acquire(): Promise<void> {
    if (this.#running >= this.#concurrentLoads) {
      await new Promise<void>((resolve) => this.#waiting.push(resolve));
      return;
    }
    this.#running += 1;
  }

  /** Passes the slot on to the load that waits longest. */
  #release(): void {
    const next = this.#waiting.shift();
    if (next === undefined) this.#running -= 1;
    else next();
  }

  async #waitForStart(signal: AbortSignal): Promise<void> {
    const now = performance.now();
    const start = Math.max(now, this.#nextStartMs);
    this.#nextStartMs = start + this.#startIntervalMs * this.slowdown;
    if (start > now) {
      await timers.setTimeout(start - now, undefined, { signal });
    }
  }
}

/**
 * Returns a reproducible random source in [0, 1) (mulberry32).
 *
 * @example
 * ```ts
 * const random = seededRandom(42);
 * ```
 */
export function seededRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}
