/**
 * Where prefixes of prompts are likely to be cached.
 *
 * Cache events come late and with gaps, so an entry is a hint that loses its
 * value with age; nothing but speed depends on it.
 *
 * @module
 */

/** Age from which on a hint is ignored. */
export const HINT_TTL_MS = 120_000;

/** Most prefixes that a host keeps hints of. */
export const MAX_PREFIXES = 50_000;

/** Most servers kept for one prefix. */
const MAX_SERVERS_PER_PREFIX = 4;

/** No servers; given out often, so there is one. */
const NONE: ReadonlySet<string> = new Set();

/** A server that is likely to have a prefix cached. */
type Hint = {
  readonly server: string;
  /** When it was last known to be so. */
  readonly at: number;
};

/** Hints of where prefixes are cached; the oldest go when it is full. */
export class PrefixHints {
  /** Prefixes in the order of their latest event, each with its servers. */
  readonly #hints = new Map<string, readonly Hint[]>();

  /** Prefixes of which hints are kept. */
  get size(): number {
    return this.#hints.size;
  }

  /** Records that `server` has cached a prefix, or used it. */
  add(prefixKey: string, server: string, now: number): void {
    const known = this.#hints.get(prefixKey);
    if (known === undefined) {
      this.#hints.set(prefixKey, [{ server, at: now }]);
      this.#dropOldest();
      return;
    }
    const others = known.filter((hint) => hint.server !== server);
    const hints = [...others, { server, at: now }];
    this.#hints.delete(prefixKey);
    this.#hints.set(prefixKey, hints.slice(-MAX_SERVERS_PER_PREFIX));
  }

  /** Records that `server` has evicted a prefix. */
  remove(prefixKey: string, server: string): void {
    const known = this.#hints.get(prefixKey) ?? [];
    const others = known.filter((hint) => hint.server !== server);
    if (others.length === known.length) return;
    if (others.length === 0) this.#hints.delete(prefixKey);
    else this.#hints.set(prefixKey, others);
  }

  /** Forgets a server whose cache was lost or that went away. */
  removeServer(server: string): void {
    for (const prefixKey of this.#hints.keys()) {
      this.remove(prefixKey, server);
    }
  }

  /** Servers that are likely to have a prefix cached. */
  serversWith(prefixKey: string, now: number): ReadonlySet<string> {
    const hints = this.#hints.get(prefixKey);
    if (hints === undefined) return NONE;
    const fresh = hints.filter(({ at }) => now - at < HINT_TTL_MS);
    return new Set(fresh.map(({ server }) => server));
  }

  #dropOldest(): void {
    if (this.#hints.size <= MAX_PREFIXES) return;
    const [oldest] = this.#hints.keys();
    if (oldest !== undefined) this.#hints.delete(oldest);
  }
}
