/**
 * Service times of backend servers.
 *
 * @module
 */

/** Largest number of targets for which times are kept. */
const MAX_TARGETS = 20_000;
/** Weight of the latest sample in an exponential moving average. */
const AVERAGE_WEIGHT = 0.1;
/**
 * Smallest reserve before a deadline, as a multiple of the mean time to the
 * first byte.
 */
const RESERVE_FACTOR = 2;
/** Largest part of a request's total time that is reserved for the server. */
const MAX_RESERVED_FRACTION = 0.5;
/** Number of recent answer times kept for each target and kind of answer. */
const RECENT_ANSWERS = 64;

/** Stall threshold, as a multiple of the mean time to the first byte. */
const STALL_FACTOR = 8;
/** Smallest stall threshold, in milliseconds. */
const MIN_STALL_MS = 2_000;

/** Tracks service times, to reserve time for the server before a deadline. */
export class ServiceTimes {
  /** Mean time to the first byte, by target. */
  readonly #firstByteTimes = new GenerationalCache<number>();
  /** Mean time for which a slot is held, by target. */
  readonly #slotTimes = new GenerationalCache<number>();
  /** Recent times of whole streams, by target. */
  readonly #streams = new GenerationalCache<number[]>();
  /** Recent answer times, by target and kind of answer. */
  readonly #answers = new GenerationalCache<number[]>();

  /** Records the time to the first byte. */
  observeFirstByte(target: string, ms: number): void {
    this.#firstByteTimes.set(
      target,
      movingAverage(this.#firstByteTimes.get(target), ms),
    );
  }

  /** Records the time for which a request held its slot. */
  observeSlotTime(target: string, ms: number): void {
    this.#slotTimes.set(target, movingAverage(this.#slotTimes.get(target), ms));
  }

  /**
   * Records the time of an answer: to its first byte if it is streamed,
   * otherwise to its end. An answer that was cut off is recorded with the time
   * it had, since a server that becomes slow would go unnoticed otherwise.
   */
  observeAnswer(target: string, isStream: boolean, ms: number): void {
    const kind = answerKind(target, isStream);
    const times = this.#answers.get(kind) ?? [];
    times.push(ms);
    if (times.length > RECENT_ANSWERS) times.shift();
    this.#answers.set(kind, times);
  }

  /** Records the time of a whole stream. */
  observeStream(target: string, ms: number): void {
    const times = this.#streams.get(target) ?? [];
    times.push(ms);
    if (times.length > RECENT_ANSWERS) times.shift();
    this.#streams.set(target, times);
  }

  /** Returns the longest recent run, in milliseconds, if one is known. */
  longestRunMs(target: string, isStream: boolean): number | undefined {
    const times = isStream
      ? this.#streams.get(target)
      : this.#answers.get(answerKind(target, false));
    return times === undefined ? undefined : Math.max(...times);
  }

  /** Returns the mean time for which a slot is held, if known. */
  slotTimeMs(target: string): number | undefined {
    return this.#slotTimes.get(target);
  }

  /**
   * Returns the silence after which the connection to a server is suspected to
   * be dead, in milliseconds; undefined for an unknown target.
   *
   * @example
   * ```ts
   * times.observeFirstByte("orders", 50);
   * times.stallThresholdMs("orders"); // 2000
   * ```
   */
  stallThresholdMs(target: string): number | undefined {
    const mean = this.#firstByteTimes.get(target);
    if (mean === undefined) return undefined;
    return Math.max(MIN_STALL_MS, STALL_FACTOR * mean);
  }

  /**
   * Returns the time by which a request must be dispatched to be answered by
   * `deadline`. The second longest of the recent answer times is reserved,
   * since times vary; the longest may be an outlier.
   *
   * @param waitStart Start of the request's waiting time.
   *
   * @example
   * ```ts
   * times.observeFirstByte("orders", 50);
   * times.dispatchDeadline("orders", 5_000, 0); // 4900
   * ```
   */
  dispatchDeadline(
    target: string,
    deadline: number,
    waitStart: number,
    isStream = false,
  ): number {
    const answers = this.#answers.get(answerKind(target, isStream)) ?? [];
    const reserveMs = Math.max(
      RESERVE_FACTOR * (this.#firstByteTimes.get(target) ?? 0),
      secondLargest(answers),
    );
    return deadline -
      Math.min(reserveMs, MAX_RESERVED_FRACTION * (deadline - waitStart));
  }
}

/**
 * A bounded cache with two generations. Entries that were not set while the new
 * generation filled up to half of the capacity are evicted. An exact LRU order
 * would move an entry, and so rebuild the map, with each request.
 */
export class GenerationalCache<Value> {
  readonly #capacity: number;
  #young = new Map<string, Value>();
  #old = new Map<string, Value>();

  /** @param capacity Largest number of entries. */
  constructor(capacity = MAX_TARGETS) {
    this.#capacity = capacity;
  }

  get size(): number {
    return this.#young.size + this.#old.size;
  }

  get(key: string): Value | undefined {
    return this.#young.get(key) ?? this.#old.get(key);
  }

  set(key: string, value: Value): void {
    this.#young.set(key, value);
    if (this.#young.size < this.#capacity / 2) return;
    this.#old = this.#young;
    this.#young = new Map();
  }
}

function movingAverage(mean: number | undefined, ms: number): number {
  return mean === undefined ? ms : mean + AVERAGE_WEIGHT * (ms - mean);
}

function answerKind(target: string, isStream: boolean): string {
  return isStream ? `${target} stream` : target;
}

function secondLargest(times: readonly number[]): number {
  let largest = 0;
  let second = 0;
  for (const ms of times) {
    if (ms > largest) {
      second = largest;
      largest = ms;
    } else if (ms > second) {
      second = ms;
    }
  }
  return second;
}
