/**
 * Time within which earlier usage loses most of its weight, in milliseconds: long
 * beside the interval of reports, short beside the time for which a share is kept.
 */
const TIME_CONSTANT_MS = 10_000;

/**
 * Fraction of a workspace's usage that callers of this host have lately. It is
 * computed from what the leader has acknowledged of this host and told of the
 * others, so that hosts that are told at the same time agree: their fractions
 * add up to 1.
 *
 * @example
 * ```ts
 * const share = new UsageShare(now);
 * share.addOwn(3_000);
 * share.addOthers(1_000);
 * share.advance(now);
 * share.fraction(4, 1_000); // 0.65, where an equal part is 0.25
 * ```
 */
export class UsageShare {
  #own = 0;
  #others = 0;
  #pending = { own: 0, others: 0 };
  #advancedAt: number;

  constructor(now: number) {
    this.#advancedAt = now;
  }

  /** Adds what this host used, as the leader has acknowledged it. */
  addOwn(tokens: number): void {
    this.#pending.own += tokens;
  }

  /** Adds what all other hosts used. */
  addOthers(tokens: number): void {
    this.#pending.others += tokens;
  }

  /** Lets earlier usage fade, and counts what was added. */
  advance(now: number): void {
    const elapsedMs = Math.max(0, now - this.#advancedAt);
    const kept = Math.exp(-elapsedMs / TIME_CONSTANT_MS);
    // Refunds are told after the usage that they reduce.
    this.#own = Math.max(0, this.#own * kept + this.#pending.own);
    this.#others = Math.max(0, this.#others * kept + this.#pending.others);
    this.#pending = { own: 0, others: 0 };
    this.#advancedAt = now;
  }

  /**
   * This host's fraction of all usage, from 0 to 1.
   *
   * @param hostCount hosts with requests, this one included
   * @param presumed tokens of usage that is presumed to be spread equally, so
   * that a few requests decide nothing
   */
  fraction(hostCount: number, presumed: number): number {
    const all = this.#own + this.#others + presumed;
    return all > 0 ? (this.#own + presumed / hostCount) / all : 1 / hostCount;
  }
}
