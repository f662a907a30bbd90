/**
 * Outlier detection: ejects backend servers whose requests from this host fail,
 * regardless of what the servers announce.
 *
 * @module
 */

/** Consecutive failures after which a server is ejected. */
export const CONSECUTIVE_FAILURE_THRESHOLD = 5;

/** Maximum fraction of the candidates for a request that may be ejected. */
export const MAX_EJECTED_FRACTION = 0.34;

/** Duration of the first ejection in milliseconds; it doubles each time. */
export const BASE_EJECTION_MS = 5000;

/** Maximum duration of an ejection, in milliseconds. */
const MAX_EJECTION_MS = 60_000;

/** Time without failures after which a server's record may be dropped. */
const RECORD_TTL_MS = 120_000;

/** Maximum number of server records that a host keeps. */
const MAX_RECORDS = 4096;

type Health = {
  consecutiveFailures: number;
  ejections: number;
  ejectedUntil: number;
  lastFailureAt: number;
};

/** Tracks the health of backend servers as observed by this host. */
export class OutlierDetector {
  readonly #servers = new Map<string, Health>();

  /** Records that a server responded to a request. */
  recordSuccess(server: string): void {
    const health = this.#servers.get(server);
    if (health !== undefined) {
      health.consecutiveFailures = 0;
    }
  }

  /** Records a request failure that was caused by the server. */
  recordFailure(server: string, now: number): void {
    this.#prune(now);
    const health = this.#servers.get(server) ?? createHealth();
    this.#servers.delete(server);
    this.#servers.set(server, health);
    health.lastFailureAt = now;
    health.consecutiveFailures++;
    const isOnProbation = health.ejections > 0 && now >= health.ejectedUntil;
    if (
      isOnProbation ||
      health.consecutiveFailures >= CONSECUTIVE_FAILURE_THRESHOLD
    ) {
      eject(health, now);
    }
  }

  /** Drops the record of a server, for example after its restart. */
  forget(server: string): void {
    this.#servers.delete(server);
  }

  /**
   * Filters out ejected servers, up to a maximum fraction of `items`: if many
   * servers fail at once, the cause is probably not the servers themselves.
   */
  withoutEjected<Item extends { readonly server: string }>(
    items: readonly Item[],
    now: number,
  ): Item[] {
    const maxEjected = Math.floor(items.length * MAX_EJECTED_FRACTION);
    const ejected = items
      .filter(({ server }) => this.#ejectedUntil(server) > now)
      .sort((a, b) =>
        this.#ejectedUntil(b.server) - this.#ejectedUntil(a.server)
      )
      .slice(0, maxEjected);
    return items.filter((item) => !ejected.includes(item));
  }

  #ejectedUntil(server: string): number {
    return this.#servers.get(server)?.ejectedUntil ?? -Infinity;
  }

  /** Drops expired records, and the oldest ones if there are too many. */
  #prune(now: number): void {
    for (const [server, { lastFailureAt }] of this.#servers) {
      const isExpired = now - lastFailureAt >= RECORD_TTL_MS;
      if (!isExpired && this.#servers.size < MAX_RECORDS) {
        return;
      }
      this.#servers.delete(server);
    }
  }
}

function createHealth(): Health {
  return {
    consecutiveFailures: 0,
    ejections: 0,
    ejectedUntil: -Infinity,
    lastFailureAt: 0,
  };
}

function eject(health: Health, now: number): void {
  const duration = BASE_EJECTION_MS * 2 ** health.ejections;
  health.ejections++;
  health.consecutiveFailures = 0;
  health.ejectedUntil = now + Math.min(duration, MAX_EJECTION_MS);
}
