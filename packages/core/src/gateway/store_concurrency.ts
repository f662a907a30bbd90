/** Loads at once that a weight store is assumed to serve at full speed. */
const INITIAL_LIMIT = 4;
/** Most loads at once, whatever the store serves. */
const MAX_LIMIT = 64;
/** Duration of a load, in expected durations, up to which it is at full speed. */
export const FULL_SPEED_STRETCH = 1.1;
/** Duration of a load, in expected durations, from which the store is slow. */
const SLOW_STRETCH = 1.4;
/**
 * How far the limit may exceed a number of loads that ran at full speed while
 * the store's bound is not known. At a store that bears no more than that
 * number, each load then takes twice as long at most.
 */
const SEARCH_GROWTH = 2;
/** The same once loads were slow: the bound is near. */
const CAREFUL_GROWTH = 1.25;

/** A completed load from the weight store. */
export type StoreLoad = {
  readonly durationMs: number;
  /** Its duration at a store that serves no other load. */
  readonly expectedMs: number;
  /** Loads in progress meanwhile, on average, including it. */
  readonly concurrency: number;
  /** Loads in progress when it began, including it. */
  readonly concurrencyAtStart: number;
  /** Monotonic time of its completion, in milliseconds. */
  readonly at: number;
};

/**
 * Finds how many loads at once a weight store serves at full speed. Beyond that
 * number each load takes proportionally longer, so more loads at once only delay
 * the first ones. A load at full speed raises the limit to twice the number of
 * loads that ran meanwhile, or by less once loads were slow; a slow load lowers
 * it to the number that would have run at full speed. A load that is slow while
 * one that began beside as many runs at full speed waits for its server, not for
 * the store.
 *
 * Answers demand that moves to models that no server has a copy of.
 *
 * @example
 * ```ts
 * concurrency.recordLoad({
 *   durationMs: 11_800,
 *   expectedMs: 11_700,
 *   concurrency: 4,
 *   concurrencyAtStart: 3,
 *   at: performance.now(),
 * });
 * if (running < concurrency.limit) startLoad();
 * ```
 */
export class StoreConcurrency {
  #limit = INITIAL_LIMIT;
  /** Loads at once that were at full speed, as far as is known. */
  #borne = INITIAL_LIMIT;
  #growth = SEARCH_GROWTH;
  /** The last load at full speed. */
  #fullSpeed: StoreLoad | undefined;

  /** Loads that may be in progress at once. */
  get limit(): number {
    return this.#limit;
  }

  /**
   * Loads that may be in progress at once beside some that take longer than at
   * full speed already: the search for the bound goes no further meanwhile.
   */
  limitBeside(overdueLoads: number): number {
    return overdueLoads === 0
      ? this.#limit
      : Math.min(this.#limit, this.#borne);
  }

  recordLoad(load: StoreLoad): void {
    const stretch = load.durationMs / load.expectedMs;
    if (stretch <= FULL_SPEED_STRETCH) this.#raise(load);
    else if (stretch >= SLOW_STRETCH) this.#lower(load, stretch);
  }

  #raise(load: StoreLoad): void {
    this.#fullSpeed = load;
    // A store may decide on a load's speed when it begins, so that loads that
    // began after it don't show in its duration.
    const borne = Math.min(load.concurrency, load.concurrencyAtStart);
    this.#borne = Math.max(this.#borne, Math.floor(borne));
    const highest = Math.ceil(borne * this.#growth);
    this.#limit = Math.max(this.#limit, Math.min(MAX_LIMIT, highest));
  }

  #lower(load: StoreLoad, stretch: number): void {
    const beside = Math.max(load.concurrency, load.concurrencyAtStart);
    const bound = Math.max(1, Math.round(beside / stretch));
    if (this.#isRefuted(load)) return;
    this.#growth = CAREFUL_GROWTH;
    this.#borne = Math.min(this.#borne, bound);
    this.#limit = Math.min(this.#limit, bound);
  }

  /** Whether one that began beside as many ran at full speed meanwhile. */
  #isRefuted({ at, concurrencyAtStart, durationMs }: StoreLoad): boolean {
    const known = this.#fullSpeed;
    return known !== undefined && known.at >= at - durationMs / 2 &&
      known.concurrencyAtStart >= concurrencyAtStart;
  }
}

/** Mark of the beginning of an interval, see {@link ConcurrencyMeter}. */
export type ConcurrencyMark = {
  readonly at: number;
  readonly loadMs: number;
  /** Loads in progress then, including the one that begins. */
  readonly concurrency: number;
};

/**
 * Measures how many loads were in progress on average during each of them.
 *
 * @example
 * ```ts
 * const mark = meter.begin(0);
 * meter.begin(500);
 * meter.end(mark, 1_000); // 1.5
 * ```
 */
export class ConcurrencyMeter {
  #active = 0;
  /** Sum of the durations of all loads so far, in milliseconds. */
  #loadMs = 0;
  #at = 0;

  /** @param now monotonic time, in milliseconds */
  begin(now: number): ConcurrencyMark {
    this.#advance(now);
    this.#active += 1;
    return { at: now, loadMs: this.#loadMs, concurrency: this.#active };
  }

  /** Ends a load; returns the loads in progress meanwhile, including it. */
  end({ at, loadMs }: ConcurrencyMark, now: number): number {
    this.#advance(now);
    this.#active -= 1;
    return now > at ? (this.#loadMs - loadMs) / (now - at) : 1;
  }

  #advance(now: number): void {
    this.#loadMs += this.#active * (now - this.#at);
    this.#at = now;
  }
}
