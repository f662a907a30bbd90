/**
 * How long backend servers take for an answer.
 *
 * @module
 */

/** Most targets whose times are remembered. */
const MAX_TARGETS = 20_000;
/** Weight of the newest time in a mean. */
const WEIGHT = 0.1;
/** Time kept free for a server at least, over the mean time that it takes. */
const RESERVE_FACTOR = 2;
/** Largest part of a request's time that is kept free. */
const MAX_RESERVED = 0.5;
/** Times of one kind of answer that are remembered. */
const RECENT = 64;

/** Silence that is long for a server, over the mean time that it takes. */
const SILENCE_FACTOR = 8;
/** Shortest silence that counts as long, in milliseconds. */
const SHORTEST_SILENCE_MS = 2_000;

/** Learns the time that has to be left for a server before a deadline. */
export class ServiceTimes {
  /** Mean times to the first byte, by target. */
  readonly #firstByte = new GenerationalCache<number>();
  /** Mean times for which a slot is held, by target. */
  readonly #held = new GenerationalCache<number>();
  /** Latest times that count against a deadline, by kind of answer. */
  readonly #answers = new GenerationalCache<number[]>();

  /** Records that a server took `ms` for the first byte. */
  observeFirstByte(target: string, ms: number): void {
    this.#firstByte.set(target, meanWith(this.#firstByte.get(target), ms));
  }

  /** Records that a request held a slot for `ms`. */
  observeSlotTime(target: string, ms: number): void {
    this.#held.set(target, meanWith(this.#held.get(target), ms));
  }

  /**
   * Records that an answer took at least `ms` of its caller's time: to its
   * first byte if it is streamed, else to its end. One that was cut counts with
   * the time that it had, or a server that becomes slow would not be noticed.
   */
  observeAnswer(target: string, isStream: boolean, ms: number): void {
    const kind = kindOf(target, isStream);
    const times = this.#answers.get(kind) ?? [];
    times.push(ms);
    if (times.length > RECENT) times.shift();
    this.#answers.set(kind, times);
  }

  /** Mean time for which a slot is held, if known. */
  slotTimeMs(target: string): number | undefined {
    return this.#held.get(target);
  }

  /**
   * Silence after which the connection to a server is doubted, in
   * milliseconds; undefined where nothing is known of the target.
   *
   * @example
   * ```ts
   * times.observe("orders", 50);
   * times.silenceMs("orders"); // 2000
   * ```
   */
  stallThresholdMs(target: string): number | undefined {
    const mean = this.#firstByte.get(target);
    if (mean === undefined) return undefined;
    return Math.max(SHORTEST_SILENCE_MS, SILENCE_FACTOR * mean);
  }

  /**
   * Time by which a request must be at a server to be answered by `deadline`,
   * as far as is known. Nearly the longest of the latest times is kept free,
   * since times may vary; the very longest may be an accident.
   *
   * @param from When the request's time to wait began.
   *
   * @example
   * ```ts
   * times.observe("orders", 50);
   * times.dispatchBy("orders", 5_000, 0); // 4900
   * ```
   */
  dispatchDeadline(
    target: string,
    deadline: number,
    from: number,
    isStream = false,
  ): number {
    const answers = this.#answers.get(kindOf(target, isStream)) ?? [];
    const reserveMs = Math.max(
      RESERVE_FACTOR * (this.#firstByte.get(target) ?? 0),
      secondLargest(answers),
    );
    return deadline - Math.min(reserveMs, MAX_RESERVED * (deadline - from));
  }
}

/**
 * Bounded memory. What was not set while half of it was set anew is forgotten:
 * an exact order would move an entry, and so rebuild the map, with each request.
 */
export class GenerationalCache<Value> {
  readonly #most: number;
  #young = new Map<string, Value>();
  #old = new Map<string, Value>();

  /** `most` is the largest number of entries. */
  constructor(most = MAX_TARGETS) {
    this.#most = most;
  }

  get size(): number {
    return this.#young.size + this.#old.size;
  }

  get(key: string): Value | undefined {
    return this.#young.get(key) ?? this.#old.get(key);
  }

  set(key: string, value: Value): void {
    this.#young.set(key, value);
    if (this.#young.size < this.#most / 2) return;
    this.#old = this.#young;
    this.#young = new Map();
  }
}

function meanWith(mean: number | undefined, ms: number): number {
  return mean === undefined ? ms : mean + WEIGHT * (ms - mean);
}

function kindOf(target: string, isStream: boolean): string {
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
