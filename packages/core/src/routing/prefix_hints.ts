/**
 * Hints about which servers have cached which prompt prefixes.
 *
 * Cache events are delayed and incomplete, so an entry is only a hint that
 * expires. Hints affect latency, never correctness.
 *
 * @module
 */

/** Age at which a hint expires, in milliseconds. */
export const HINT_TTL_MS = 120_000;

/** Maximum number of prefixes for which a host keeps hints. */
export const MAX_PREFIXES = 50_000;

/** Maximum number of servers kept per prefix. */
const MAX_SERVERS_PER_PREFIX = 4;

/** Shared empty result, since most lookups find no servers. */
const NO_SERVERS: ReadonlySet<string> = new Set();

/** A server that has probably cached a prefix. */
type Hint = {
  readonly server: string;
  /** Time of the latest event that confirmed it. */
  readonly confirmedAt: number;
};

/** Bounded store of prefix hints, which evicts the oldest prefixes. */
export class PrefixHints {
  /** Hints by prefix, the least recently confirmed prefix first. */
  readonly #hints = new Map<string, readonly Hint[]>();

  /** Number of prefixes with hints. */
  get size(): number {
    return this.#hints.size;
  }

  /** Records that `server` has cached a prefix or used its cached copy. */
  add(prefixKey: string, server: string, now: number): void {
    const existing = this.#hints.get(prefixKey);
    if (existing === undefined) {
      this.#hints.set(prefixKey, [{ server, confirmedAt: now }]);
      this.#evictOldest();
      return;
    }
    const others = existing.filter((hint) => hint.server !== server);
    const hints = [...others, { server, confirmedAt: now }];
    this.#hints.delete(prefixKey);
    this.#hints.set(prefixKey, hints.slice(-MAX_SERVERS_PER_PREFIX));
  }

  /** Records that `server` has evicted a prefix. */
  remove(prefixKey: string, server: string): void {
    const existing = this.#hints.get(prefixKey) ?? [];
    const others = existing.filter((hint) => hint.server !== server);
    if (others.length === existing.length) return;
    if (others.length === 0) this.#hints.delete(prefixKey);
    else this.#hints.set(prefixKey, others);
  }

  /** Removes all hints for a server that has lost its cache or is gone. */
  removeServer(server: string): void {
    for (const prefixKey of this.#hints.keys()) {
      this.remove(prefixKey, server);
    }
  }

  /** Servers that have probably cached a prefix. */
  serversWith(prefixKey: string, now: number): ReadonlySet<string> {
    const hints = this.#hints.get(prefixKey);
    if (hints === undefined) return NO_SERVERS;
    const fresh = hints.filter(({ confirmedAt }) =>
      now - confirmedAt < HINT_TTL_MS
    );
    return new Set(fresh.map(({ server }) => server));
  }

  #evictOldest(): void {
    if (this.#hints.size <= MAX_PREFIXES) return;
    const [oldest] = this.#hints.keys();
    if (oldest !== undefined) this.#hints.delete(oldest);
  }
}
