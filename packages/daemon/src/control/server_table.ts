import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";

/** A server without an announcement for this time gets no work, in ms. */
export const SERVER_SILENT_MS = 3_500;

/** What changed since the hosts were told last. */
export interface Difference {
  readonly changed: protocol.control.ServerStatus[];
  readonly removed: string[];
}

interface Row {
  readonly pool: string;
  readonly ramp: core.ramp.AdaptiveLimit;
  status: protocol.control.ServerStatus;
}

/** The backend servers as hosts are told of them, with their slot pools. */
export class ServerTable {
  readonly #shares: core.limits.ShareLeader;
  readonly #placement: core.placement.Placement;
  readonly #rows = new Map<string, Row>();

  constructor(
    shares: core.limits.ShareLeader,
    placement: core.placement.Placement,
  ) {
    this.#shares = shares;
    this.#placement = placement;
  }

  /** All servers as hosts know them. */
  statuses(): protocol.control.ServerStatus[] {
    return [...this.#rows.values()].map((row) => row.status);
  }

  /** A server as hosts know it. */
  status(id: string): protocol.control.ServerStatus | undefined {
    return this.#rows.get(id)?.status;
  }

  /** Takes an announcement into the server's slot pool. */
  hear(announcement: protocol.backend.Announcement, now: number): void {
    const row = this.#rows.get(announcement.id);
    if (row?.pool !== protocol.control.slotPool(announcement)) return;
    row.ramp.setAnnounced(announcement.concurrency);
    this.#shares.observeRunning(row.pool, announcement.running, now);
  }

  /** Takes in how requests ended, and renders the servers anew. */
  update(withdrawn: ReadonlySet<string>, now: number): Difference {
    this.#observe(now);
    const changed: protocol.control.ServerStatus[] = [];
    const present = new Set<string>();
    for (const server of this.#placement.servers()) {
      present.add(server.announcement.id);
      const status = this.#refresh(server, withdrawn, now);
      if (status !== undefined) changed.push(status);
    }
    const removed = [...this.#rows.keys()].filter((id) => !present.has(id));
    for (const id of removed) this.#remove(id);
    return { changed, removed };
  }

  #observe(now: number): void {
    const byPool = new Map(
      this.#shares.takeOutcomes().map((one) => [one.server, one]),
    );
    for (const row of this.#rows.values()) {
      const seen = byPool.get(row.pool);
      if (seen !== undefined) row.ramp.observe(seen, now);
      this.#shares.setSlots(row.pool, row.ramp.limit, now);
    }
  }

  /** Returns the server's status if it has changed. */
  #refresh(
    server: core.placement.AnnouncedServer,
    withdrawn: ReadonlySet<string>,
    now: number,
  ): protocol.control.ServerStatus | undefined {
    const { announcement } = server;
    const former = this.#rows.get(announcement.id);
    const row = former?.pool === protocol.control.slotPool(announcement)
      ? former
      : this.#start(server, former);
    const status = statusOf(server, {
      ready: this.#placement.readyModels(announcement.id),
      ...loadingOf(this.#placement.loadingModels(announcement.id)),
      limit: row.ramp.limit,
      usable: isUsable(server, withdrawn, now),
    });
    if (row === former && isEqual(former.status, status)) return undefined;
    if (status.usable && former?.status.usable === false) row.ramp.restart();
    row.status = status;
    return status;
  }

  /** A new server, or a new start of a known one: it warms up first. */
  #start(server: core.placement.AnnouncedServer, former: Row | undefined): Row {
    const { announcement } = server;
    if (former !== undefined) this.#shares.removeSlots(former.pool);
    const row = {
      pool: protocol.control.slotPool(announcement),
      ramp: new core.ramp.AdaptiveLimit({
        announced: announcement.concurrency,
      }),
      status: statusOf(server, { ready: [], limit: 0, usable: false }),
    };
    this.#rows.set(announcement.id, row);
    this.#shares.setSlots(
      row.pool,
      row.ramp.limit,
      server.lastSeenMs,
      announcement.running,
    );
    return row;
  }

  #remove(id: string): void {
    const row = this.#rows.get(id);
    this.#rows.delete(id);
    if (row !== undefined) this.#shares.removeSlots(row.pool);
  }
}

function isUsable(
  server: core.placement.AnnouncedServer,
  withdrawn: ReadonlySet<string>,
  now: number,
): boolean {
  const { announcement } = server;
  if (announcement.leaving || server.isDown) return false;
  if (withdrawn.has(announcement.failureDomain)) return false;
  return now - server.lastSeenMs < SERVER_SILENT_MS;
}

/** What most servers do not do takes no bytes in the feed. */
function loadingOf(
  loading: string[],
): Pick<protocol.control.ServerStatus, "loading"> {
  return loading.length === 0 ? {} : { loading };
}

function statusOf(
  server: core.placement.AnnouncedServer,
  own: Pick<
    protocol.control.ServerStatus,
    "ready" | "loading" | "limit" | "usable"
  >,
): protocol.control.ServerStatus {
  const { announcement } = server;
  return {
    id: announcement.id,
    incarnation: announcement.incarnation,
    address: announcement.address,
    failureDomain: announcement.failureDomain,
    kind: announcement.kind,
    services: announcement.services,
    queued: announcement.queued,
    ...own,
  };
}

/** Compares field by field: it is done for each server in each round. */
function isEqual(
  left: protocol.control.ServerStatus,
  right: protocol.control.ServerStatus,
): boolean {
  return left.incarnation === right.incarnation &&
    left.address === right.address &&
    left.failureDomain === right.failureDomain &&
    left.kind === right.kind &&
    left.limit === right.limit &&
    left.queued === right.queued &&
    left.usable === right.usable &&
    areSame(left.services, right.services) &&
    areSame(left.ready, right.ready) &&
    areSame(left.loading ?? [], right.loading ?? []);
}

function areSame(left: readonly string[], right: readonly string[]): boolean {
  return left.length === right.length &&
    left.every((item, index) => item === right[index]);
}
