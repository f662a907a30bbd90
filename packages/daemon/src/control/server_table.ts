import type * as core from "@ebonypath/core";
import type * as protocol from "@ebonypath/protocol";
import * as registry from "./server_registry.ts";

/** What changed since the hosts were told last. */
export interface Difference {
  readonly changed: protocol.control.ServerStatus[];
  readonly removed: string[];
}

/** The backend servers as hosts are told of them, with their slot pools. */
export class ServerTable {
  readonly #shares: core.limits.ShareLeader;
  readonly #registry = new registry.ServerRegistry();
  readonly #statuses = new Map<string, protocol.control.ServerStatus>();
  readonly #pools = new Map<string, string>();

  constructor(shares: core.limits.ShareLeader) {
    this.#shares = shares;
  }

  /** The announced servers. */
  list(): registry.Server[] {
    return this.#registry.list();
  }

  /** All servers as hosts know them. */
  statuses(): protocol.control.ServerStatus[] {
    return [...this.#statuses.values()];
  }

  /** Takes an announcement. */
  hear(announcement: protocol.backend.Announcement, now: number): void {
    const heard = this.#registry.hear(announcement, now);
    if (heard === "outdated") return;
    const pool = poolOf(announcement);
    const former = this.#pools.get(announcement.id);
    if (former !== undefined && former !== pool) {
      this.#shares.removeSlots(former);
    }
    this.#pools.set(announcement.id, pool);
    this.#shares.setSlots(
      pool,
      announcement.concurrency,
      now,
      announcement.running,
    );
    this.#shares.observeRunning(pool, announcement.running, now);
  }

  /** Renders the servers anew and tells what has changed. */
  update(withdrawn: ReadonlySet<string>, now: number): Difference {
    const removed = this.#registry.expire(now);
    for (const id of removed) this.#remove(id);
    const changed: protocol.control.ServerStatus[] = [];
    for (const server of this.#registry.list()) {
      const status = statusOf(server, withdrawn, now);
      const known = this.#statuses.get(status.id);
      if (known !== undefined && isEqual(known, status)) continue;
      this.#statuses.set(status.id, status);
      changed.push(status);
    }
    return { changed, removed };
  }

  #remove(id: string): void {
    this.#statuses.delete(id);
    const pool = this.#pools.get(id);
    if (pool !== undefined) this.#shares.removeSlots(pool);
    this.#pools.delete(id);
  }
}

function poolOf(announcement: protocol.backend.Announcement): string {
  return `${announcement.id}/${announcement.incarnation}`;
}

function statusOf(
  server: registry.Server,
  withdrawn: ReadonlySet<string>,
  now: number,
): protocol.control.ServerStatus {
  const { announcement } = server;
  return {
    id: announcement.id,
    incarnation: announcement.incarnation,
    address: announcement.address,
    failureDomain: announcement.failureDomain,
    kind: announcement.kind,
    services: announcement.services,
    ready: announcement.loaded.map((loaded) => loaded.model),
    limit: announcement.concurrency,
    running: announcement.running,
    queued: announcement.queued,
    usable: registry.isUsable(server, withdrawn, now),
  };
}

function isEqual(
  left: protocol.control.ServerStatus,
  right: protocol.control.ServerStatus,
): boolean {
  return JSON.stringify(left) === JSON.stringify(right);
}
