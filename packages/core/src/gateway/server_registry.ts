import type { gateway } from "@ebonypath/protocol";
import { adapterKey } from "./load_planner_types.ts";
import { RemovalNotices } from "./removal_notices.ts";

/**
 * Time without a heartbeat after which entry hosts are told that a server is
 * lost, in milliseconds: several heartbeat intervals plus the possible delay of
 * a heartbeat.
 */
const LOST_MS = 8_000;
/** Time without a heartbeat after which a server is removed, in ms. */
const REMOVE_MS = 60_000;
/**
 * Time for which heartbeats of a server are ignored that was reported as ended
 * before it was known, in milliseconds. Its start time is unknown then, so late
 * heartbeats of the ended start can't be told from those of a new one.
 */
const UNKNOWN_END_MS = 3_000;

/**
 * Earlier end of a server from which on entry hosts are told again, in
 * milliseconds: about the time by which heartbeats in a row differ in transit.
 */
const REMOVAL_TOLERANCE_MS = 50;

/** A server, with the state that the leader adds to its last heartbeat. */
type Entry = {
  heartbeat: gateway.Heartbeat;
  /** Monotonic time of the last heartbeat, in milliseconds. */
  heartbeatAt: number;
  /** Revision of the registry at the last change of this server. */
  revision: number;
  /** Models that it is about to unload; they get no new requests. */
  unloading: ReadonlySet<string>;
  /** Whether it has answered the leader with a report of its models. */
  hasReport: boolean;
  /**
   * Whether the leader has heard the server itself, rather than of it from an
   * entry host.
   */
  isHeard: boolean;
  /** Whether it has told an entry host that it leaves. */
  isLeaving: boolean;
};

/** The last start of a server that has ended, if it was not known then. */
type EndedStart = {
  readonly born: number;
  /** Monotonic time until which it is remembered, in milliseconds. */
  readonly until: number;
};

/** A copy of a leader's list of servers, as far as its owner followed it. */
export type ServerListCopy = {
  /** Term and last known revision of the leader. */
  readonly term: number;
  readonly revision: number;
  readonly servers: readonly {
    readonly record: gateway.ServerRecord;
    /** Revision at which the owner had the record; higher if not the leader's. */
    readonly revision: number;
  }[];
};

/** Models that one entry host has requests for. */
export type HostInterest = {
  /** Models, and adapters as `model/adapter`, that requests wait for. */
  readonly waiting: ReadonlySet<string>;
  /** Models with requests that run or arrived lately. */
  readonly used: ReadonlySet<string>;
};

/**
 * Leader's registry of the backend servers that send heartbeats. The start of a
 * server is identified by its start time and each heartbeat of it by its
 * sequence number, so late heartbeats are recognized and ignored.
 *
 * @example
 * ```ts
 * const registry = new ServerRegistry();
 * registry.applyHeartbeat(heartbeat, now);
 * const changed = registry.changesSince(0, now);
 * ```
 */
export class ServerRegistry {
  readonly #entries = new Map<string, Entry>();
  /** Servers reported as ended before they were known, with the expiry time. */
  readonly #unknownEnded = new Map<string, number>();
  /** Starts that have ended before they were known. */
  readonly #endedStarts = new Map<string, EndedStart>();
  readonly #removals = new RemovalNotices();
  #revision = 1;
  #urgentRevision = 1;

  /** Increases with each change that entry hosts have to be sent. */
  get revision(): number {
    return this.#revision;
  }

  /**
   * Revision of the last change that all entry hosts have to be sent at once:
   * one of a server's state, or of other data. A change of its models concerns
   * the hosts with requests for them.
   */
  get urgentRevision(): number {
    return this.#urgentRevision;
  }

  /** Increases the revisions for a change of other data sent to entry hosts. */
  bumpRevision(): void {
    this.#nextRevision(true);
  }

  #nextRevision(isUrgent: boolean): number {
    this.#revision += 1;
    if (isUrgent) this.#urgentRevision = this.#revision;
    return this.#revision;
  }

  /**
   * Begins with the list of an earlier leader, and continues its revisions. The
   * servers count as heard now.
   */
  restore({ revision, servers }: ServerListCopy, now: number): void {
    this.#revision = Math.max(
      revision,
      ...servers.map((server) => server.revision),
    );
    for (const { record, revision } of servers) {
      const { leaving } = record;
      const heartbeat = toHeartbeat(record);
      this.#recordRemoval(heartbeat, now);
      // This leader has no orders under way.
      const isSame = leaving.length === 0;
      this.#addUnheard(
        heartbeat,
        now,
        isSame ? revision : this.#nextRevision(false),
      );
    }
    this.#urgentRevision = this.#revision;
  }

  /** Servers that have not ended. */
  activeServers(): gateway.Heartbeat[] {
    return [...this.#entries.values()]
      .map(({ heartbeat }) => heartbeat)
      .filter(({ state }) => state !== "ended");
  }

  get(id: string): gateway.Heartbeat | undefined {
    return this.#entries.get(id)?.heartbeat;
  }

  /** Time since the last heartbeat of a server, in milliseconds. */
  timeSinceHeartbeatMs(id: string, now: number): number {
    const heartbeatAt = this.#entries.get(id)?.heartbeatAt;
    return heartbeatAt === undefined ? Infinity : now - heartbeatAt;
  }

  /** Whether the leader has heard the server itself. */
  isHeard(id: string): boolean {
    return this.#entries.get(id)?.isHeard ?? false;
  }

  /** Applies a heartbeat; returns false if it is outdated. */
  applyHeartbeat(heartbeat: gateway.Heartbeat, now: number): boolean {
    return this.#apply(heartbeat, now, true);
  }

  #apply(
    heartbeat: gateway.Heartbeat,
    now: number,
    isHeard: boolean,
  ): boolean {
    const known = this.#entries.get(heartbeat.id);
    if (!this.#isNewer(heartbeat, known?.heartbeat, now)) return false;
    if (this.#hasEnded(heartbeat)) {
      // Hosts that have it as running have to be told.
      const ended = { ...heartbeat, state: "ended" } as const;
      this.#addUnheard(ended, now, this.#nextRevision(true));
      return false;
    }
    this.#endPredecessors(heartbeat);
    const sameStart = known?.heartbeat.born === heartbeat.born
      ? known
      : undefined;
    const isLeaving = sameStart?.isLeaving ?? false;
    const merged = withLeaving(
      keepReportedModels(heartbeat, sameStart),
      isLeaving,
    );
    const endsEarlier = this.#recordRemoval(heartbeat, now);
    const isSame = known !== undefined && !endsEarlier &&
      isEqualContent(known.heartbeat, merged);
    const isSameState = sameStart?.heartbeat.state === merged.state;
    this.#entries.set(heartbeat.id, {
      heartbeat: merged,
      heartbeatAt: now,
      revision: isSame
        ? known.revision
        : this.#nextRevision(!isSameState || endsEarlier),
      unloading: sameStart?.unloading ?? new Set(),
      hasReport: sameStart?.hasReport ?? false,
      isHeard: isHeard || (sameStart?.isHeard ?? false),
      isLeaving,
    });
    return true;
  }

  /**
   * Merges records that entry hosts kept from an earlier leader. Only records
   * that are newer than the last known heartbeat of their server are used; the
   * hosts are sent the record that is used instead of another one. A server
   * counts as heard now.
   */
  mergeRecords(records: readonly gateway.ServerRecord[], now: number): void {
    // Hosts are told of changes only: their records age while servers are heard.
    for (const record of records) {
      const { leaving } = record;
      const heartbeat = toHeartbeat(record);
      const known = this.#entries.get(heartbeat.id);
      if (known === undefined || isLater(heartbeat, known.heartbeat)) {
        this.#apply(heartbeat, now, false);
        continue;
      }
      this.#mergeState(heartbeat, known);
      const endsEarlier = this.#recordRemoval(heartbeat, now);
      const isSame = leaving.length === 0 && !endsEarlier &&
        isEqualContent(heartbeat, known.heartbeat);
      if (!isSame) known.revision = this.#nextRevision(false);
    }
  }

  /** A start that drains or has ended doesn't become ready again. */
  #mergeState(
    { born, sequence, state }: gateway.Heartbeat,
    known: Entry,
  ): void {
    if (known.heartbeat.born !== born) return;
    if (state === "ended") {
      this.markEnded({ id: known.heartbeat.id, born }, known.heartbeatAt);
    }
    const isLeaving = state === "draining" &&
      sequence === known.heartbeat.sequence;
    if (isLeaving) this.markLeaving({ born, id: known.heartbeat.id });
  }

  /**
   * Marks a start of a server as ended. A later start is not affected.
   *
   * @param server its id, and the start that has ended if it was known
   * @returns false if it is not clear which start is meant, since the server was
   * not known before and is now
   */
  markEnded(
    { born, id }: { readonly id: string; readonly born: number | null },
    now: number,
  ): boolean {
    const known = this.#entries.get(id);
    if (born === null) {
      if (known !== undefined) return false;
      this.#unknownEnded.set(id, now + UNKNOWN_END_MS);
      return true;
    }
    if (known === undefined || known.heartbeat.born < born) {
      this.#endedStarts.set(id, { born, until: now + REMOVE_MS });
    }
    if (known !== undefined && known.heartbeat.born <= born) {
      this.#end(known);
    }
    return true;
  }

  /** Returns whether a server will be gone earlier than was known. */
  #recordRemoval(heartbeat: gateway.Heartbeat, now: number): boolean {
    const { remainingMs } = heartbeat;
    if (remainingMs === undefined) return false;
    const knownEnd = this.#removals.endsAt(heartbeat) ?? Infinity;
    const isEarlier = this.#removals.record(heartbeat, remainingMs, now);
    return isEarlier && knownEnd - now - remainingMs > REMOVAL_TOLERANCE_MS;
  }

  /** When a start of a server will be gone; absent if nothing is known. */
  removalAt(start: gateway.ServerStart): number | undefined {
    return this.#removals.endsAt(start);
  }

  #end(entry: Entry): void {
    if (entry.heartbeat.state === "ended") return;
    entry.heartbeat = { ...entry.heartbeat, state: "ended" };
    entry.revision = this.#nextRevision(true);
  }

  #hasEnded({ born, id }: gateway.ServerStart): boolean {
    return born <= (this.#endedStarts.get(id)?.born ?? -1);
  }

  /** Adds a start that the leader knows of by others, or that has ended. */
  #addUnheard(
    heartbeat: gateway.Heartbeat,
    now: number,
    revision: number,
  ): void {
    this.#entries.set(heartbeat.id, {
      heartbeat,
      heartbeatAt: now,
      revision,
      unloading: new Set(),
      hasReport: false,
      isHeard: false,
      isLeaving: false,
    });
  }

  /** Marks a start of a server as draining, whatever its heartbeats say. */
  markLeaving(start: gateway.ServerStart): void {
    const entry = this.#entryOf(start);
    if (entry === undefined) return;
    entry.isLeaving = true;
    const heartbeat = withLeaving(entry.heartbeat, true);
    if (heartbeat.state === entry.heartbeat.state) return;
    entry.heartbeat = heartbeat;
    entry.revision = this.#nextRevision(true);
  }

  /**
   * Replaces the models of a start of a server with those that it reported on
   * request.
   */
  applyReport(
    start: gateway.ServerStart,
    report: Pick<
      gateway.EngineReport,
      "models" | "inMemory" | "onDisk" | "remainingMs"
    >,
    now?: number,
  ): void {
    const entry = this.#entryOf(start);
    if (entry === undefined) return;
    const { remainingMs } = report;
    if (remainingMs !== undefined && now !== undefined) {
      this.markLeaving(start);
      const heartbeat = { ...entry.heartbeat, remainingMs };
      if (this.#recordRemoval(heartbeat, now)) {
        entry.revision = this.#nextRevision(true);
      }
    }
    const { models, inMemory, onDisk } = report;
    entry.hasReport = true;
    const heartbeat = { ...entry.heartbeat, models, inMemory, onDisk };
    const isSame = isEqualContent(entry.heartbeat, heartbeat);
    entry.heartbeat = heartbeat;
    if (!isSame) entry.revision = this.#nextRevision(false);
  }

  /** Sets the models of a start of a server that get no new requests. */
  setUnloadingModels(
    start: gateway.ServerStart,
    models: ReadonlySet<string>,
  ): void {
    const entry = this.#entryOf(start);
    if (entry === undefined) return;
    entry.unloading = models;
    entry.revision = this.#nextRevision(false);
  }

  /** A start of a server, unless a later one is known. */
  #entryOf({ born, id }: gateway.ServerStart): Entry | undefined {
    const entry = this.#entries.get(id);
    return entry?.heartbeat.born === born ? entry : undefined;
  }

  /** Servers that have changed after a revision; 0 returns all. */
  changesSince(revision: number, now: number): gateway.ServerRecord[] {
    return [...this.#entries.values()]
      .filter((entry) => entry.revision > revision)
      .map(({ heartbeat, heartbeatAt, unloading }) => {
        const { inMemory: _, onDisk: __, remainingMs: ___, ...record } =
          heartbeat;
        const endsAt = this.#removals.endsAt(heartbeat);
        return {
          ...record,
          ...(endsAt === undefined
            ? {}
            : { remainingMs: Math.max(0, endsAt - heartbeatAt) }),
          silentMs: Math.max(0, now - heartbeatAt),
          leaving: [...unloading],
        };
      });
  }

  /**
   * Whether a change after a revision concerns a host at once: a model that its
   * requests wait for has been loaded, or one that they use is to be unloaded.
   */
  concerns(interest: HostInterest, revision: number): boolean {
    if (interest.waiting.size + interest.used.size === 0) return false;
    for (const entry of this.#entries.values()) {
      if (entry.revision > revision && concernsHost(entry, interest)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Marks silent servers as lost, and removes them later.
   *
   * @returns whether a server was marked now
   */
  expire(now: number): boolean {
    const { revision } = this;
    for (const [id, entry] of this.#entries) {
      const silentMs = now - entry.heartbeatAt;
      if (this.#removals.isOver(entry.heartbeat, now)) this.#end(entry);
      if (silentMs > REMOVE_MS) this.#entries.delete(id);
      else if (silentMs > LOST_MS) this.#markLost(entry);
    }
    for (const [id, until] of this.#unknownEnded) {
      if (now >= until) this.#unknownEnded.delete(id);
    }
    for (const [id, { until }] of this.#endedStarts) {
      if (now >= until) this.#endedStarts.delete(id);
    }
    return this.revision !== revision;
  }

  #markLost(entry: Entry): void {
    const { state } = entry.heartbeat;
    if (state === "lost" || state === "ended") return;
    entry.heartbeat = { ...entry.heartbeat, state: "lost" };
    entry.revision = this.#nextRevision(true);
  }

  #isNewer(
    heartbeat: gateway.Heartbeat,
    known: gateway.Heartbeat | undefined,
    now: number,
  ): boolean {
    const endedUntil = this.#unknownEnded.get(heartbeat.id) ?? -Infinity;
    if (now < endedUntil) return false;
    if (this.#hasSuccessor(heartbeat)) return false;
    return known === undefined || isLater(heartbeat, known);
  }

  /** Whether a server that started later uses the same address. */
  #hasSuccessor({ address, born, id }: gateway.Heartbeat): boolean {
    return this.activeServers().some((other) =>
      other.id !== id && other.address === address && other.born > born
    );
  }

  /** Marks earlier servers at the same address as ended. */
  #endPredecessors({ address, born, id }: gateway.Heartbeat): void {
    for (const entry of this.#entries.values()) {
      const { heartbeat } = entry;
      const isPredecessor = heartbeat.id !== id &&
        heartbeat.address === address && heartbeat.born <= born;
      if (isPredecessor) this.#end(entry);
    }
  }
}

/**
 * Keeps the models that a server has reported to the leader. A heartbeat may
 * have been in transit for seconds while the server executed orders.
 */
function keepReportedModels(
  heartbeat: gateway.Heartbeat,
  known: Entry | undefined,
): gateway.Heartbeat {
  if (known?.hasReport !== true) return heartbeat;
  const { inMemory, models, onDisk } = known.heartbeat;
  return { ...heartbeat, models, inMemory, onDisk };
}

/** What a record says of a server, as if it had been heard now. */
function toHeartbeat(
  { leaving: _, silentMs, remainingMs, ...record }: gateway.ServerRecord,
): gateway.Heartbeat {
  return {
    ...record,
    ...(remainingMs === undefined
      ? {}
      : { remainingMs: Math.max(0, remainingMs - silentMs) }),
    inMemory: [],
    onDisk: [],
  };
}

/** A server that leaves may announce itself as ready until it does so. */
function withLeaving(
  heartbeat: gateway.Heartbeat,
  isLeaving: boolean,
): gateway.Heartbeat {
  return isLeaving && heartbeat.state === "ready"
    ? { ...heartbeat, state: "draining" }
    : heartbeat;
}

function concernsHost(
  { heartbeat, unloading }: Entry,
  { used, waiting }: HostInterest,
): boolean {
  for (const model of unloading) if (used.has(model)) return true;
  return waiting.size > 0 &&
    heartbeat.models.some(({ adapters, name }) =>
      waiting.has(name) ||
      adapters.some((adapter) => waiting.has(adapterKey(name, adapter)))
    );
}

/** Whether a heartbeat is newer than another one of the same server. */
function isLater(one: gateway.Heartbeat, other: gateway.Heartbeat): boolean {
  if (one.born !== other.born) return one.born > other.born;
  return other.state !== "ended" && one.sequence > other.sequence;
}

/** Whether two heartbeats are the same to entry hosts. */
function isEqualContent(
  one: gateway.Heartbeat,
  other: gateway.Heartbeat,
): boolean {
  const strip = (heartbeat: gateway.Heartbeat) =>
    JSON.stringify({
      ...heartbeat,
      sequence: 0,
      coldMs: heartbeat.coldMs > 0,
      remainingMs: 0,
      inMemory: [],
      onDisk: [],
    });
  return strip(one) === strip(other);
}
