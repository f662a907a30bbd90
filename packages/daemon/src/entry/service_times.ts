/**
 * How long backend servers take for the first byte of an answer.
 *
 * @module
 */

/** Most targets whose times are remembered. */
const MAX_TARGETS = 20_000;
/** Weight of the newest time. */
const WEIGHT = 0.1;
/** Time kept free for a server, over the mean time that it takes. */
const RESERVE_FACTOR = 2;
/** Largest part of a request's time that is kept free. */
const MAX_RESERVED = 0.5;

/** Silence that is long for a server, over the mean time that it takes. */
const SILENCE_FACTOR = 8;
/** Shortest silence that counts as long, in milliseconds. */
const SHORTEST_SILENCE_MS = 2_000;

/** Learns the time that has to be left for a server before a deadline. */
export class ServiceTimes {
  /** The longest unused target first. */
  readonly #means = new Map<string, number>();

  /** Records that a server took `ms` for the first byte. */
  observe(target: string, ms: number): void {
    const known = this.#means.get(target);
    const mean = known === undefined ? ms : known + WEIGHT * (ms - known);
    this.#means.delete(target);
    this.#means.set(target, mean);
    if (this.#means.size <= MAX_TARGETS) return;
    for (const oldest of this.#means.keys()) {
      this.#means.delete(oldest);
      return;
    }
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
  silenceMs(target: string): number | undefined {
    const mean = this.#means.get(target);
    if (mean === undefined) return undefined;
    return Math.max(SHORTEST_SILENCE_MS, SILENCE_FACTOR * mean);
  }

  /**
   * Time by which a request must be at a server to be answered by `deadline`,
   * as far as is known.
   *
   * @example
   * ```ts
   * times.observe("orders", 50);
   * times.dispatchBy("orders", 5_000, 0); // 4900
   * ```
   */
  dispatchBy(target: string, deadline: number, now: number): number {
    const reserveMs = RESERVE_FACTOR * (this.#means.get(target) ?? 0);
    return deadline - Math.min(reserveMs, MAX_RESERVED * (deadline - now));
  }
}
