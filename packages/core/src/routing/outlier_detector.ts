/**
 * Ejection of backend servers that fail for this host, whatever their own
 * announcements say.
 *
 * @module
 */

/** Failures in a row that eject a server. */
export const CONSECUTIVE_FAILURE_THRESHOLD = 5;

/** Largest part of the servers of one choice that may be ejected. */
export const MAX_EJECTED_FRACTION = 0.34;

/** How long the first ejection lasts; the next ones last longer. */
export const BASE_EJECTION_MS = 5000;

const LONGEST_EJECTION_MS = 60_000;

/** Time without failures after which earlier ejections are forgotten. */
const FORGET_MS = 120_000;

/** Most servers that a host keeps a record of. */
const MAX_SERVERS = 4096;

type Health = {
  failuresInRow: number;
  ejections: number;
  ejectedUntil: number;
  changedAt: number;
};

/** This host's view of the health of backend servers. */
export class OutlierDetector {
  readonly #servers = new Map<string, Health>();

  /** Records that a server answered a request. */
  recordSuccess(server: string): void {
    const health = this.#servers.get(server);
    if (health !== undefined) {
      health.failuresInRow = 0;
    }
  }

  /** Records that a request failed by the server's fault. */
  recordFailure(server: string, now: number): void {
    this.#prune(now);
    const health = this.#servers.get(server) ?? newHealth();
    this.#servers.delete(server);
    this.#servers.set(server, health);
    health.changedAt = now;
    health.failuresInRow++;
    const isOnProbation = health.ejections > 0 && now >= health.ejectedUntil;
    if (
      isOnProbation || health.failuresInRow >= CONSECUTIVE_FAILURE_THRESHOLD
    ) {
      eject(health, now);
    }
  }

  /** Forgets a server, as when a new incarnation of it starts. */
  forget(server: string): void {
    this.#servers.delete(server);
  }

  /**
   * Leaves out ejected servers, but never more than a bounded part of them:
   * when many fail, the cause is hardly the servers themselves.
   */
  withoutEjected<Item extends { readonly server: string }>(
    items: readonly Item[],
    now: number,
  ): Item[] {
    const most = Math.floor(items.length * MAX_EJECTED_FRACTION);
    const ejected = items
      .filter(({ server }) => this.#ejectedUntil(server) > now)
      .sort((a, b) =>
        this.#ejectedUntil(b.server) - this.#ejectedUntil(a.server)
      )
      .slice(0, most);
    return items.filter((item) => !ejected.includes(item));
  }

  #ejectedUntil(server: string): number {
    return this.#servers.get(server)?.ejectedUntil ?? -Infinity;
  }

  #prune(now: number): void {
    for (const [server, { changedAt }] of this.#servers) {
      const isOld = now - changedAt >= FORGET_MS;
      if (!isOld && this.#servers.size < MAX_SERVERS) {
        return;
      }
      this.#servers.delete(server);
    }
  }
}

function newHealth(): Health {
  return {
    failuresInRow: 0,
    ejections: 0,
    ejectedUntil: -Infinity,
    changedAt: 0,
  };
}

function eject(health: Health, now: number): void {
  const duration = BASE_EJECTION_MS * 2 ** health.ejections;
  health.ejections++;
  health.failuresInRow = 0;
  health.ejectedUntil = now + Math.min(duration, LONGEST_EJECTION_MS);
}
