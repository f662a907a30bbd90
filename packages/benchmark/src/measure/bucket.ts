/** A request of a workspace, as a bucket sees it. */
export interface Taken {
  readonly atMs: number;
  readonly tokens: number;
}

/**
 * Most tokens that were taken beyond burst + rate × time, over any window.
 *
 * @example
 * ```ts
 * overUse(taken, { rate: 10, burst: 20 }); // 0 where the bound holds
 * ```
 */
export function overUse(
  taken: readonly Taken[],
  limit: { readonly rate: number; readonly burst: number },
): number {
  let level = 0;
  let lastMs = 0;
  let worst = 0;
  for (const { atMs, tokens } of [...taken].sort((a, b) => a.atMs - b.atMs)) {
    level = Math.max(0, level - limit.rate * (atMs - lastMs) / 1_000) + tokens;
    lastMs = atMs;
    worst = Math.max(worst, level - limit.burst);
  }
  return worst;
}

/**
 * A token bucket with a queue in the order of arrival: returns how long a
 * request waits, or null where that is longer than `maxWaitMs`.
 */
export class Bucket {
  readonly #rate: number;
  readonly #burst: number;
  readonly #maxWaitMs: number;
  #level: number;
  #lastMs = 0;

  constructor(rate: number, burst: number, maxWaitMs: number) {
    this.#rate = rate;
    this.#burst = burst;
    this.#maxWaitMs = maxWaitMs;
    this.#level = burst;
  }

  /** Takes tokens at a time that never decreases. */
  take(atMs: number, tokens: number): number | null {
    const filled = this.#level + this.#rate * (atMs - this.#lastMs) / 1_000;
    this.#level = Math.min(this.#burst, filled);
    this.#lastMs = atMs;
    // A negative level is what waiting requests have been promised.
    const missing = tokens - this.#level;
    const waitMs = Math.max(0, 1_000 * missing / this.#rate);
    if (waitMs > this.#maxWaitMs) return null;
    this.#level -= tokens;
    return waitMs;
  }
}
