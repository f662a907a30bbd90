const SECOND_MS = 1_000;

/** Requests to one cold server that this host has sent lately. */
type Sent = { readonly times: number[] };

/**
 * This host's part of what cold servers bear. The bound of a server holds over
 * all hosts, so each has an equal part of it; where there are more hosts than
 * requests, the first ones by name have one each.
 *
 * @example
 * ```ts
 * limit.setHosts(names, own);
 * if (limit.admits("s1", 12, now)) limit.note("s1", now);
 * ```
 */
export class ColdServerLimiter {
  readonly #sent = new Map<string, Sent>();
  #hosts = 1;
  #rank = 0;

  /** Sets which hosts share the bounds. */
  setHosts(hosts: readonly string[], own: string): void {
    const ordered = [...new Set([...hosts, own])].sort();
    this.#hosts = ordered.length;
    this.#rank = ordered.indexOf(own);
  }

  /** Whether a cold server may get a request of this host now. */
  allows(server: string, perSecond: number, now: number): boolean {
    const sent = this.#recent(server, now);
    return sent.times.length < this.#part(perSecond);
  }

  /** Notes a request that is sent to a cold server. */
  recordRequest(server: string, now: number): void {
    this.#recent(server, now).times.push(now);
  }

  #part(perSecond: number): number {
    const each = Math.floor(perSecond / this.#hosts);
    const rest = perSecond - each * this.#hosts;
    return each + (this.#rank < rest ? 1 : 0);
  }

  #recent(server: string, now: number): Sent {
    const known = this.#sent.get(server) ?? { times: [] };
    this.#sent.set(server, known);
    while ((known.times[0] ?? now) <= now - SECOND_MS) known.times.shift();
    return known;
  }
}
