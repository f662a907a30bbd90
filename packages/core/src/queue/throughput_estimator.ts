/**
 * How fast a line of waiting requests is served.
 *
 * @module
 */

/** Time over which what was served is counted, in milliseconds. */
const PERIOD_MS = 1_000;

/**
 * Rate at which a line is served while something waits in it. What is served
 * when nothing waits tells how much was asked for, not how much can be had, and
 * is left out.
 *
 * The better of the last whole period and the time since its start is taken, so
 * that a supply that grows is believed at once and one that falls a period
 * later: a request is refused for it too late rather than wrongly.
 *
 * @example
 * ```ts
 * const supply = new ThroughputEstimator(0);
 * for (let at = 100; at <= 2_000; at += 100) supply.recordServed(5, at);
 * supply.perMs(2_000); // 0.05
 * ```
 */
export class ThroughputEstimator {
  readonly #since: number;
  #startedAt: number;
  #amount = 0;
  #previous = 0;

  /** @param now When the line began to wait. */
  constructor(now: number) {
    this.#since = now;
    this.#startedAt = now;
  }

  /** Counts what left the line to be served, or came back if negative. */
  recordServed(amount: number, now: number): void {
    this.#advance(now);
    this.#amount += amount;
  }

  /**
   * What is served in a millisecond; undefined while nothing was served, or
   * for too short a time, as when a model loads or a share is on its way.
   */
  perMs(now: number): number | undefined {
    this.#advance(now);
    if (now - this.#since < PERIOD_MS) return undefined;
    const elapsed = PERIOD_MS + now - this.#startedAt;
    const rate = Math.max(
      this.#previous / PERIOD_MS,
      (this.#previous + this.#amount) / elapsed,
    );
    return rate > 0 ? rate : undefined;
  }

  #advance(now: number): void {
    const periods = Math.floor((now - this.#startedAt) / PERIOD_MS);
    if (periods <= 0) return;
    this.#previous = periods === 1 ? this.#amount : 0;
    this.#amount = 0;
    this.#startedAt += periods * PERIOD_MS;
  }
}
