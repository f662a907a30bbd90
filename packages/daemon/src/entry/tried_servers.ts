/**
 * Servers on which earlier attempts of a request failed.
 *
 * @module
 */

/**
 * Time for which tried servers are avoided after the first attempt that reached
 * one, in milliseconds. Meanwhile, a model load or an announcement may make
 * another server available.
 */
export const FIRST_AVOIDANCE_MS = 300;
/** Factor by which the avoidance period grows with each further attempt. */
const AVOIDANCE_GROWTH = 4;

/** Earlier attempts of a request, as the placement queue sees them. */
export interface PriorAttempts {
  readonly ids: ReadonlySet<string>;
  /** End of the avoidance of tried servers, in monotonic milliseconds. */
  readonly avoidedUntil: number;
}

/** Value for a request that was not attempted yet. */
export const NO_PRIOR_ATTEMPTS: PriorAttempts = {
  ids: new Set(),
  avoidedUntil: 0,
};

/** Tracks the servers on which one request failed. */
export class TriedServers implements PriorAttempts {
  readonly #ids = new Set<string>();
  #avoidedUntil = 0;
  #sent = 0;

  get ids(): ReadonlySet<string> {
    return this.#ids;
  }

  get avoidedUntil(): number {
    return this.#avoidedUntil;
  }

  /** Number of attempts that reached a server and were not refused. */
  get sent(): number {
    return this.#sent;
  }

  add(id: string): void {
    this.#ids.add(id);
  }

  /** Records an attempt that reached its server. */
  recordReached(now: number): void {
    const avoidanceMs = FIRST_AVOIDANCE_MS * AVOIDANCE_GROWTH ** this.#sent;
    this.#avoidedUntil = now + avoidanceMs;
    this.#sent += 1;
  }
}
