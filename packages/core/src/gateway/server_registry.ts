import type { gateway } from "@ebonypath/protocol";

/**
 * Time without a heartbeat after which entry hosts are told that a server is
 * lost: several heartbeats, and the time that one may be late. In milliseconds.
 */
const LOST_MS = 8_000;
/** Time without a heartbeat after which a server is forgotten, in ms. */
const FORGET_MS = 60_000;
/**
 * Time for which heartbeats of a server that was said to have ended are
 * ignored where its start is not known, in milliseconds.
 */
const UNKNOWN_END_MS = 3_000;

/** A server, with what the leader adds to its heartbeats. */
type Entry = {
  heartbeat: gateway.Heartbeat;
  /** Monotonic time of the last heartbeat, in milliseconds. */
  heardAt: number;
  /** Revision of the roster at its last change. */
  revision: number;
  leaving: ReadonlySet<string>;
  /** Whether what it holds is known from its answers to the leader. */
  isObserved: boolean;
};

/**
 * The backend servers that have announced themselves, as the leader knows
 * them. A server's start is told apart by its time of birth, and its heartbeats
 * by their sequence, so that a late one takes nothing back.
 *
 * @example
 * ```ts
 * const roster = new Roster();
 * roster.hear(heartbeat, now);
 * const changed = roster.since(0, now);
 * ```
 */
export class ServerRegistry {
  readonly #entries = new Map<string, Entry>();
  /** Servers that ended without being known, and until when that counts. */
  readonly #ended = new Map<string, number>();
  #revision = 1;

  /** Grows with each change that entry hosts have to know. */
  get revision(): number {
    return this.#revision;
  }

  /** Notes a change beside the servers that entry hosts have to know. */
  bumpRevision(): void {
    this.#revision += 1;
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
  timeSinceHeartbeat(id: string, now: number): number {
    const heardAt = this.#entries.get(id)?.heardAt;
    return heardAt === undefined ? Infinity : now - heardAt;
  }

  /** Takes a heartbeat; returns whether it was newer than what is known. */
  applyHeartbeat(heartbeat: gateway.Heartbeat, now: number): boolean {
    const known = this.#entries.get(heartbeat.id);
    if (!this.#isNewer(heartbeat, known?.heartbeat, now)) return false;
    this.#endPredecessors(heartbeat);
    const sameStart = known?.heartbeat.born === heartbeat.born
      ? known
      : undefined;
    const merged = merge(heartbeat, sameStart);
    const isSame = known !== undefined &&
      isEqualContent(known.heartbeat, merged);
    this.#entries.set(heartbeat.id, {
      heartbeat: merged,
      heardAt: now,
      revision: isSame ? known.revision : ++this.#revision,
      leaving: sameStart?.leaving ?? new Set(),
      isObserved: sameStart?.isObserved ?? false,
    });
    return true;
  }

  /**
   * Takes records that entry hosts kept from an earlier leader. They never
   * replace what a server has said to this one.
   */
  mergeRecords(records: readonly gateway.ServerRecord[], now: number): void {
    for (const { silentMs, leaving: _, ...heartbeat } of records) {
      const known = this.#entries.get(heartbeat.id)?.heartbeat;
      if (known !== undefined && !isLater(heartbeat, known)) continue;
      this.applyHeartbeat(heartbeat, now - silentMs);
    }
  }

  /** Notes that a server has ended. */
  markEnded(id: string, now: number): void {
    const known = this.#entries.get(id);
    if (known === undefined) {
      this.#ended.set(id, now + UNKNOWN_END_MS);
      return;
    }
    if (known.heartbeat.state === "ended") return;
    known.heartbeat = { ...known.heartbeat, state: "ended" };
    known.revision = ++this.#revision;
  }

  /** Replaces what a server holds by what it answered when it was asked. */
  applyReport(
    id: string,
    report: Pick<gateway.EngineReport, "models" | "inMemory" | "onDisk">,
  ): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) return;
    const { models, inMemory, onDisk } = report;
    entry.isObserved = true;
    const heartbeat = { ...entry.heartbeat, models, inMemory, onDisk };
    if (isEqualContent(entry.heartbeat, heartbeat)) return;
    entry.heartbeat = heartbeat;
    entry.revision = ++this.#revision;
  }

  /** Sets which models of a server take no new requests. */
  setUnloadingModels(id: string, models: ReadonlySet<string>): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) return;
    entry.leaving = models;
    entry.revision = ++this.#revision;
  }

  /** Records changed after a revision; 0 lists all. */
  changesSince(revision: number, now: number): gateway.ServerRecord[] {
    return [...this.#entries.values()]
      .filter((entry) => entry.revision > revision)
      .map(({ heartbeat, heardAt, leaving }) => ({
        ...heartbeat,
        silentMs: Math.max(0, now - heardAt),
        leaving: [...leaving],
      }));
  }

  /** Marks silent servers as lost; returns whether any fell silent. */
  expire(now: number): boolean {
    const { revision } = this;
    for (const [id, entry] of this.#entries) {
      const silentMs = now - entry.heardAt;
      if (silentMs > FORGET_MS) this.#entries.delete(id);
      else if (silentMs > LOST_MS) this.#lose(entry);
    }
    for (const [id, until] of this.#ended) {
      if (now >= until) this.#ended.delete(id);
    }
    return this.revision !== revision;
  }

  #lose(entry: Entry): void {
    const { state } = entry.heartbeat;
    if (state === "lost" || state === "ended") return;
    entry.heartbeat = { ...entry.heartbeat, state: "lost" };
    entry.revision = ++this.#revision;
  }

  #isNewer(
    heartbeat: gateway.Heartbeat,
    known: gateway.Heartbeat | undefined,
    now: number,
  ): boolean {
    const endedUntil = this.#ended.get(heartbeat.id) ?? -Infinity;
    if (now < endedUntil) return false;
    if (this.#hasSuccessor(heartbeat)) return false;
    return known === undefined || isLater(heartbeat, known);
  }

  /** Whether a server that started later has its address. */
  #hasSuccessor({ address, born, id }: gateway.Heartbeat): boolean {
    return this.activeServers().some((other) =>
      other.id !== id && other.address === address && other.born > born
    );
  }

  #endPredecessors({ address, born, id }: gateway.Heartbeat): void {
    for (const entry of this.#entries.values()) {
      const { heartbeat } = entry;
      const isPredecessor = heartbeat.id !== id &&
        heartbeat.address === address && heartbeat.born <= born;
      if (!isPredecessor || heartbeat.state === "ended") continue;
      entry.heartbeat = { ...heartbeat, state: "ended" };
      entry.revision = ++this.#revision;
    }
  }
}

/**
 * A heartbeat may have been on its way for seconds, during which the server has
 * carried out orders: what its answers say of its models goes before.
 */
function merge(
  heartbeat: gateway.Heartbeat,
  known: Entry | undefined,
): gateway.Heartbeat {
  if (known?.isObserved !== true) return heartbeat;
  const { inMemory, models, onDisk } = known.heartbeat;
  return { ...heartbeat, models, inMemory, onDisk };
}

/** Whether a heartbeat was sent after another one of the same server. */
function isLater(one: gateway.Heartbeat, other: gateway.Heartbeat): boolean {
  if (one.born !== other.born) return one.born > other.born;
  return other.state !== "ended" && one.sequence > other.sequence;
}

function isEqualContent(
  one: gateway.Heartbeat,
  other: gateway.Heartbeat,
): boolean {
  const strip = (heartbeat: gateway.Heartbeat) =>
    JSON.stringify({ ...heartbeat, sequence: 0, coldMs: heartbeat.coldMs > 0 });
  return strip(one) === strip(other);
}
