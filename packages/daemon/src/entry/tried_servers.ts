/**
 * Servers on which earlier tries of one request failed.
 *
 * @module
 */

/**
 * Time for which servers are left to others after the first try that reached
 * one, in milliseconds. A load or the next announcement may bring another.
 */
export const FIRST_AVOIDANCE_MS = 300;
/** By how much longer servers are avoided after each further try. */
const AVOIDANCE_GROWTH = 4;

/** What a queue needs to know of earlier tries. */
export interface PriorAttempts {
  readonly ids: ReadonlySet<string>;
  /** No tried server gets the request before; monotonic, in milliseconds. */
  readonly avoidedUntil: number;
}

/** A request that was not tried yet. */
export const NO_PRIOR_ATTEMPTS: PriorAttempts = {
  ids: new Set(),
  avoidedUntil: 0,
};

/** Remembers the servers that failed with one request. */
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

  /** Tries that reached a server which did not refuse. */
  get sent(): number {
    return this.#sent;
  }

  add(id: string): void {
    this.#ids.add(id);
  }

  /** Notes a try that reached its server. */
  recordReached(now: number): void {
    const avoidanceMs = FIRST_AVOIDANCE_MS * AVOIDANCE_GROWTH ** this.#sent;
    this.#avoidedUntil = now + avoidanceMs;
    this.#sent += 1;
  }
}
