/**
 * Concurrency limit of one backend server: slow start, then additive increase,
 * with multiplicative decrease, as in congestion control of a connection.
 *
 * @module
 */

import type * as protocol from "@ebonypath/protocol";

/** Requests that a server gets at once when nothing is known of it. */
export const INITIAL_LIMIT = 2;

/** Fewest requests that a server in service gets at once. */
export const MIN_LIMIT = 1;

/** Factor by which the limit falls on a sign of overload. */
const DECREASE_FACTOR = 0.5;

/** Shortest time between two decreases: the later signs have the same cause. */
const DECREASE_INTERVAL_MS = 1000;

/** Part of slow answers from which on the server counts as overloaded. */
const SLOW_FRACTION = 0.2;

/** How far the limit may be above the concurrency that was tried out. */
const UNTRIED_FACTOR = 2;

/** How a ramp-up begins. */
export type AdaptiveLimitOptions = {
  /** Concurrency limit that the server announces. */
  readonly announced: number;
  /** Limit of an earlier leader, when the server stayed in service. */
  readonly limit?: number;
};

/** What was seen of a server since the previous observation. */
export type Observation = {
  readonly outcomes: protocol.limits.ServerOutcomes;
  /** Most requests that ran at once on the server. */
  readonly running: number;
  /** Requests that an earlier leader let it run at once. */
  readonly inherited?: number;
};

/**
 * The ramp-up of one backend server, held by the leader. A new incarnation gets
 * a new ramp-up.
 *
 * @example
 * ```ts
 * const ramp = new Ramp({ announced: 16 });
 * ramp.observe({ outcomes, running: 2 }, now);
 * leader.setSlots(server, ramp.limit, now);
 * ```
 */
export class AdaptiveLimit {
  #announced: number;
  #limit: number;
  /** Limit from which on growth is additive. */
  #threshold = Infinity;
  #decreasedAt = -Infinity;

  constructor(start: AdaptiveLimitOptions) {
    this.#announced = start.announced;
    this.#limit = start.limit ?? INITIAL_LIMIT;
  }

  /** Requests that the server may run at once, over all hosts. */
  get limit(): number {
    const lowest = Math.max(MIN_LIMIT, Math.floor(this.#limit));
    return Math.min(lowest, this.#announced);
  }

  /** Whether the server gets all that it announces. */
  get isAtAnnounced(): boolean {
    return this.limit >= this.#announced;
  }

  /** Takes in a changed announcement. */
  setAnnounced(announced: number): void {
    this.#announced = announced;
    this.#limit = Math.min(this.#limit, Math.max(announced, MIN_LIMIT));
  }

  /**
   * Starts again from the bottom: the server's failure domain has come back, or
   * it has lost what it had loaded.
   */
  restart(): void {
    this.#limit = Math.min(this.#limit, INITIAL_LIMIT);
    this.#threshold = Infinity;
  }

  /** Takes in how requests ended, from all hosts. */
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
    this.#threshold = this.#limit;
  }

  /** Each success adds one in slow start: the limit doubles in a round. */
  #increase({ outcomes, running }: Observation): void {
    const most = Math.min(
      this.#announced,
      Math.max(INITIAL_LIMIT, running * UNTRIED_FACTOR),
    );
    if (this.#limit >= most) {
      return;
    }
    const step = this.#limit < this.#threshold
      ? outcomes.succeeded
      : outcomes.succeeded / this.#limit;
    this.#limit = Math.min(most, this.#limit + step);
  }
}

function isOverloaded(outcomes: protocol.limits.ServerOutcomes): boolean {
  const { succeeded, refused, failed, slow } = outcomes;
  return refused > 0 || failed > 0 ||
    slow > SLOW_FRACTION * (succeeded + slow);
}
