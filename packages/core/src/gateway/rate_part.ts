import type { gateway } from "@ebonypath/protocol";

const SECOND_MS = 1_000;

/**
 * Part of a workspace's rate that one host may use while it does not know what
 * the other hosts use: an equal part for each host, of the tokens that were last
 * known to be available and of those that are added since.
 *
 * In a large fleet that part may be less than one request a second. A request
 * that is larger than what has accrued is admitted with a probability equal to
 * the fraction that has, and uses it up either way. The hosts together keep to
 * the rate on average, and none has to save for a whole request first.
 *
 * @example
 * ```ts
 * const part = new RatePart(rate, now);
 * part.reset(availableTokens / 9, now);
 * if (part.tryConsume(1_600, now, Math.random())) serve();
 * ```
 */
export class RatePart {
  #rate: gateway.RateLimit;
  #hostCount = 1;
  #level: number;
  #refilledAt: number;

  constructor(rate: gateway.RateLimit, now: number) {
    this.#rate = rate;
    this.#level = 0;
    this.#refilledAt = now;
  }

  setRate(rate: gateway.RateLimit): void {
    this.#rate = rate;
  }

  /** Sets the tokens of this host's part, as the usage of all hosts allows. */
  reset(tokens: number, now: number): void {
    this.#level = Math.max(0, tokens);
    this.#refilledAt = now;
  }

  /** Sets the number of hosts that the rate is divided among, this one included. */
  setHostCount(hostCount: number): void {
    this.#hostCount = Math.max(1, hostCount);
  }

  /** Whether what has accrued is enough for a whole request. */
  fits(tokens: number, now: number): boolean {
    this.#refill(tokens, now);
    return this.#level >= tokens;
  }

  /** Deducts usage that was admitted by the rate of the whole fleet. */
  charge(tokens: number, now: number): void {
    this.#refill(tokens, now);
    this.#level = Math.max(0, this.#level - tokens);
  }

  /**
   * Deducts a request's tokens, and returns whether it is admitted.
   *
   * @param draw random number from 0 to 1
   */
  tryConsume(tokens: number, now: number, draw: number): boolean {
    this.#refill(tokens, now);
    const isAdmitted = draw * tokens < this.#level;
    this.#level = Math.max(0, this.#level - tokens);
    return isAdmitted;
  }

  /** Returns the tokens of a request that did not run. */
  refund(tokens: number): void {
    this.#level += tokens;
  }

  /** @param tokens of the request at hand, so that even a large one can accrue */
  #refill(tokens: number, now: number): void {
    const { burst, perSecond } = this.#rate;
    const elapsedMs = Math.max(0, now - this.#refilledAt);
    const added = elapsedMs / SECOND_MS * perSecond / this.#hostCount;
    const capacity = Math.max(burst / this.#hostCount, tokens);
    this.#level = Math.min(capacity, this.#level + added);
    this.#refilledAt = now;
  }
}
