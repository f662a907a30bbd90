/**
 * Where prefixes of prompts are likely to be cached.
 *
 * Cache events come late and with gaps, so an entry is a hint that loses its
 * value with age; nothing but speed depends on it.
 *
 * @module
 */

/** Age from which on a hint is ignored. */
export const HINT_LIFETIME_MS = 120_000;

/** Most prefixes that a host keeps hints of. */
export const MAX_PREFIXES = 50_000;

/** Most servers kept for one prefix. */
const MAX_SERVERS_PER_PREFIX = 4;

/** Hints of where prefixes are cached; the oldest go when it is full. */
export class PrefixHints {
  /** Prefixes in the order of their latest event, each with its servers. */
  readonly #hints = new Map<string, Map<string, number>>();

  /** Prefixes of which hints are kept. */
  get size(): number {
    return this.#hints.size;
  }

  /** Records that `server` has cached a prefix, or used it. */
  add(prefixKey: string, server: string, now: number): void {
    const servers = this.#hints.get(prefixKey) ?? new Map<string, number>();
    this.#hints.delete(prefixKey);
    this.#hints.set(prefixKey, servers);
    servers.delete(server);
    servers.set(server, now);
    dropOldest(servers, MAX_SERVERS_PER_PREFIX);
    dropOldest(this.#hints, MAX_PREFIXES);
  }

  /** Records that `server` has evicted a prefix. */
  remove(prefixKey: string, server: string): void {
    const servers = this.#hints.get(prefixKey);
    servers?.delete(server);
    if (servers?.size === 0) {
      this.#hints.delete(prefixKey);
    }
  }

  /** Forgets a server whose cache was lost or that went away. */
  removeServer(server: string): void {
    for (const prefixKey of this.#hints.keys()) {
      this.remove(prefixKey, server);
    }
  }

  /** Servers that are likely to have a prefix cached. */
  serversWith(prefixKey: string, now: number): ReadonlySet<string> {
    const servers = this.#hints.get(prefixKey) ?? new Map<string, number>();
    const fresh = [...servers].filter(([_, at]) => now - at < HINT_LIFETIME_MS);
    return new Set(fresh.map(([server]) => server));
  }
}

function dropOldest(map: Map<string, unknown>, most: number): void {
  for (const key of map.keys()) {
    if (map.size <= most) {
      return;
    }
    map.delete(key);
  }
}
