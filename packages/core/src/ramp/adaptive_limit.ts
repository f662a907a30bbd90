/**
 * Concurrency limit of one backend server, adapted as in TCP congestion
 * control: slow start, then additive increase and multiplicative decrease
 * (AIMD).
 *
 * @module
 */

import type * as protocol from "@ebonypath/protocol";

/** Limit of a server about which nothing is known. */
export const INITIAL_LIMIT = 2;

/** Lowest limit of a server in service. */
export const MIN_LIMIT = 1;

/** Factor by which the limit is reduced when the server is overloaded. */
const DECREASE_FACTOR = 0.5;

/**
 * Minimum time between two decreases: signs of overload that follow within it
 * have the same cause as the first one.
 */
const DECREASE_INTERVAL_MS = 1000;

/** Fraction of slow responses above which a server counts as overloaded. */
const SLOW_FRACTION = 0.2;

/** Maximum ratio of the limit to the concurrency that was actually reached. */
const MAX_GROWTH_FACTOR = 2;

/** Initial values of an {@link AdaptiveLimit}. */
export type AdaptiveLimitOptions = {
  /** Concurrency limit that the server announces. */
  readonly announced: number;
  /** Limit set by a previous leader, if the server stayed in service. */
  readonly limit?: number;
};

/** What hosts observed of a server since the previous observation. */
export type Observation = {
  readonly outcomes: protocol.limits.ServerOutcomes;
  /** Highest number of requests that ran on the server at once. */
  readonly running: number;
  /** Slots that hosts still hold from a previous leader. */
  readonly inherited?: number;
};

/**
 * Adaptive concurrency limit of one backend server, maintained by the leader. A
 * new incarnation of the server gets a new instance.
 *
 * @example
 * ```ts
 * const limit = new AdaptiveLimit({ announced: 16 });
 * limit.observe({ outcomes, running: 2 }, now);
 * leader.setSlots(server, limit.limit, now);
 * ```
 */
export class AdaptiveLimit {
  #announced: number;
  #limit: number;
  /** Slow-start threshold: from this limit on, growth is additive. */
  #slowStartThreshold = Infinity;
  #decreasedAt = -Infinity;

  constructor(options: AdaptiveLimitOptions) {
    this.#announced = options.announced;
    this.#limit = options.limit ?? INITIAL_LIMIT;
  }

  /** Requests that all hosts together may run on the server at once. */
  get limit(): number {
    const limit = Math.max(MIN_LIMIT, Math.floor(this.#limit));
    return Math.min(limit, this.#announced);
  }

  /** Whether the limit has reached the announced one. */
  get isAtAnnouncedLimit(): boolean {
    return this.limit >= this.#announced;
  }

  /** Updates the limit that the server announces. */
  setAnnounced(announced: number): void {
    this.#announced = announced;
    this.#limit = Math.min(this.#limit, Math.max(announced, MIN_LIMIT));
  }

  /**
   * Restarts slow start, because the server's failure domain is back in service
   * or the server has lost what it had loaded.
   */
  restart(): void {
    this.#limit = Math.min(this.#limit, INITIAL_LIMIT);
    this.#slowStartThreshold = Infinity;
  }

  /** Adapts the limit to the outcomes of requests from all hosts. */
  observe(observation: Observation, now: number): void {
    const inherited = Math.min(observation.inherited ?? 0, this.#announced);
    this.#limit = Math.max(this.#limit, inherited);
    if (isOverloaded(observation.outcomes)) {
      this.#decrease(now);
    } else {
      this.#increase(observation);
    }
  }

  #decrease(now: number): void {
    if (now < this.#decreasedAt + DECREASE_INTERVAL_MS) {
      return;
    }
    this.#decreasedAt = now;
    this.#limit = Math.max(MIN_LIMIT, this.#limit * DECREASE_FACTOR);
    this.#slowStartThreshold = this.#limit;
  }

  /**
   * Slow start adds one per success, so the limit doubles per round of
   * requests. Above the threshold it grows by one per round.
   */
  #increase({ outcomes, running }: Observation): void {
    const maxLimit = Math.min(
      this.#announced,
      Math.max(INITIAL_LIMIT, running * MAX_GROWTH_FACTOR),
    );
    if (this.#limit >= maxLimit) {
      return;
    }
    const step = this.#limit < this.#slowStartThreshold
      ? outcomes.succeeded
      : outcomes.succeeded / this.#limit;
    this.#limit = Math.min(maxLimit, this.#limit + step);
  }
}

function isOverloaded(outcomes: protocol.limits.ServerOutcomes): boolean {
  const { succeeded, refused, failed, slow } = outcomes;
  return refused > 0 || failed > 0 ||
    slow > SLOW_FRACTION * (succeeded + slow);
}
