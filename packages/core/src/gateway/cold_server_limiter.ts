const SECOND_MS = 1_000;

/** Times of the requests that this host sent to one cold server lately. */
type RecentRequests = { readonly times: number[] };

/**
 * Limits the requests per second that this host sends to cold servers. The
 * limit of a server applies to all hosts together, so it is divided equally
 * among them. The remainder of the division goes one request each to the first
 * hosts by name; with more hosts than requests, only these hosts may send.
 *
 * @example
 * ```ts
 * limiter.setHosts(names, own);
 * if (limiter.allows("s1", 12, now)) limiter.recordRequest("s1", now);
 * ```
 */
export class ColdServerLimiter {
  readonly #requests = new Map<string, RecentRequests>();
  #hostCount = 1;
  #rank = 0;

  /** Sets the hosts that share the limits. */
  setHosts(hosts: readonly string[], own: string): void {
    const ordered = [...new Set([...hosts, own])].sort();
    this.#hostCount = ordered.length;
    this.#rank = ordered.indexOf(own);
  }

  /** Whether this host may send a request to a cold server now. */
  allows(server: string, perSecond: number, now: number): boolean {
    const recent = this.#recentRequests(server, now);
    return recent.times.length < this.#hostShare(perSecond);
  }

  /** Counts a request that is sent to a cold server. */
  recordRequest(server: string, now: number): void {
    this.#recentRequests(server, now).times.push(now);
  }

  #hostShare(perSecond: number): number {
    const base = Math.floor(perSecond / this.#hostCount);
    const remainder = perSecond - base * this.#hostCount;
    return base + (this.#rank < remainder ? 1 : 0);
  }

  #recentRequests(server: string, now: number): RecentRequests {
    const recent = this.#requests.get(server) ?? { times: [] };
    this.#requests.set(server, recent);
    while ((recent.times[0] ?? now) <= now - SECOND_MS) recent.times.shift();
    return recent;
  }
}
