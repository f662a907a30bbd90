/**
 * Estimate of how fast a queue is served.
 *
 * @module
 */

/** Length of a measurement period, in milliseconds. */
const PERIOD_MS = 1_000;

/**
 * Estimates the throughput of a queue while requests wait in it. Throughput
 * while the queue is empty reflects demand rather than capacity, and must not
 * be recorded.
 *
 * The estimate is the higher of the rate in the last full period and the rate
 * since the start of that period. An increase in throughput thus counts at once
 * and a decrease one period later, so that requests are refused too late rather
 * than wrongly.
 *
 * @example
 * ```ts
 * const throughput = new ThroughputEstimator(0);
 * for (let at = 100; at <= 2_000; at += 100) throughput.recordServed(5, at);
 * throughput.perMs(2_000); // 0.05
 * ```
 */
export class ThroughputEstimator {
  readonly #startedAt: number;
  #periodStartedAt: number;
  #currentAmount = 0;
  #previousAmount = 0;

  /** @param now Time at which requests began to wait. */
  constructor(now: number) {
    this.#startedAt = now;
    this.#periodStartedAt = now;
  }

  /** Adds an amount that was served; a negative amount was returned unused. */
  recordServed(amount: number, now: number): void {
    this.#advance(now);
    this.#currentAmount += amount;
  }

  /**
   * Amount served per millisecond. Undefined during the first period and while
   * nothing is served, for example while a model loads or the host waits for
   * its share of a limit.
   */
  perMs(now: number): number | undefined {
    this.#advance(now);
    if (now - this.#startedAt < PERIOD_MS) return undefined;
    const elapsed = PERIOD_MS + now - this.#periodStartedAt;
    const rate = Math.max(
      this.#previousAmount / PERIOD_MS,
      (this.#previousAmount + this.#currentAmount) / elapsed,
    );
    return rate > 0 ? rate : undefined;
  }

  #advance(now: number): void {
    const periods = Math.floor((now - this.#periodStartedAt) / PERIOD_MS);
    if (periods <= 0) return;
    this.#previousAmount = periods === 1 ? this.#currentAmount : 0;
    this.#currentAmount = 0;
    this.#periodStartedAt += periods * PERIOD_MS;
  }
}
