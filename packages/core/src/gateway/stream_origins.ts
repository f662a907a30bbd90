import type { gateway } from "@ebonypath/protocol";
import type { GatewayState } from "./state.ts";

/**
 * Streams that are remembered at most: 48 MB, a seventh of the memory of a
 * control host on the users' platform.
 */
const MAX_STREAMS = 200_000;
/** Streams of one revision at most: changes are told in whole revisions. */
const MAX_REVISION_STREAMS = 1_000;
/**
 * Difference of two ends of a stream's time that is no change, in milliseconds:
 * each new leader is told of all streams again, with the time that is left.
 */
const SAME_END_MS = 1_000;
/** Outdated positions in the order of changes before it is made anew. */
const MAX_OUTDATED_CHANGES = 10_000;

/** Where a stream began, and for how long that is of use. */
type Entry = {
  readonly origin: gateway.StreamOrigin;
  /** Monotonic time, in milliseconds. */
  readonly expiresAt: number;
  /** Revision of the record at its last change. */
  readonly revision: number;
};

/** A change of the record. */
type Change = { readonly id: string; readonly revision: number };

/**
 * Record of where streams began that their callers may resume at another host.
 * Hosts report them to the leader while a service has servers of several software
 * versions; the other control hosts keep copies, of which the next leader begins
 * with its own. When there are too many, the oldest are forgotten, and can't be
 * resumed any more.
 *
 * @example
 * ```ts
 * origins.record(report.streams, now);
 * origins.find("7f3a", now); // { service: "advice", softwareVersion: "v1" }
 * copy.apply(origins.changesSince(0, 1_000, now), now);
 * ```
 */
export class StreamOrigins {
  /** In the order of their last changes. */
  readonly #entries = new Map<string, Entry>();
  /** Changes in their order; those that later ones replace are outdated. */
  #changes: Change[] = [];
  #revision = 0;
  /** Streams that have changed with this revision. */
  #revisionStreams = 0;

  /** Number of streams that are remembered. */
  get size(): number {
    return this.#entries.size;
  }

  /** Increases with each report of streams, and with large ones several times. */
  get revision(): number {
    return this.#revision;
  }

  /** Records the streams that a host reports. */
  record(streams: readonly gateway.ReportedStream[], now: number): void {
    if (streams.length === 0) return;
    this.#nextRevision();
    for (const { id, remainingMs, service, softwareVersion } of streams) {
      this.#set(id, { service, softwareVersion }, now + remainingMs, now);
    }
    this.#forgetOldest(now);
  }

  /** Where a stream began, if that is known. */
  find(id: string, now: number): gateway.StreamOrigin | undefined {
    const entry = this.#entries.get(id);
    return entry === undefined || now >= entry.expiresAt
      ? undefined
      : entry.origin;
  }

  /**
   * Streams that have changed since a revision; 0 returns all. There may be
   * further ones, since the revision that is returned.
   *
   * @param limit number of streams from which on no further revision is added
   */
  changesSince(
    revision: number,
    limit: number,
    now: number,
  ): gateway.StreamChanges {
    const groups = new Map<string, gateway.StreamGroup>();
    let last = revision;
    let count = 0;
    for (
      let at = this.#firstChangeAfter(revision);
      at < this.#changes.length;
      at += 1
    ) {
      const change = this.#changes[at] as Change;
      if (count >= limit && change.revision > last) {
        return { revision: last, groups: [...groups.values()] };
      }
      last = change.revision;
      const entry = this.#entries.get(change.id);
      if (entry?.revision !== change.revision || now >= entry.expiresAt) {
        continue;
      }
      addToGroup(groups, change.id, entry, now);
      count += 1;
    }
    return { revision: this.#revision, groups: [...groups.values()] };
  }

  /** Applies the changes of another record; its revisions are its own. */
  apply({ groups }: gateway.StreamChanges, now: number): void {
    this.#nextRevision();
    for (const { ids, remainingMs, service, softwareVersion } of groups) {
      ids.forEach((id, index) => {
        const expiresAt = now + (remainingMs[index] ?? 0);
        this.#set(id, { service, softwareVersion }, expiresAt, now);
      });
    }
    this.#forgetOldest(now);
  }

  #set(
    id: string,
    origin: gateway.StreamOrigin,
    expiresAt: number,
    now: number,
  ): void {
    const known = this.find(id, now);
    const merged = known === undefined ? origin : merge(known, origin);
    if (known !== undefined && isSameOrigin(known, merged)) {
      const knownEnd = this.#entries.get(id)?.expiresAt ?? 0;
      if (Math.abs(expiresAt - knownEnd) <= SAME_END_MS) return;
    }
    if (this.#revisionStreams >= MAX_REVISION_STREAMS) this.#nextRevision();
    this.#revisionStreams += 1;
    const revision = this.#revision;
    this.#entries.delete(id);
    this.#entries.set(id, { origin: merged, expiresAt, revision });
    this.#changes.push({ id, revision });
  }

  #nextRevision(): void {
    this.#revision += 1;
    this.#revisionStreams = 0;
  }

  /** Position of the first change after a revision. */
  #firstChangeAfter(revision: number): number {
    let low = 0;
    let high = this.#changes.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.#changes[middle] as Change).revision > revision) high = middle;
      else low = middle + 1;
    }
    return low;
  }

  /** Removes what is over, from the oldest on, and what exceeds the limit. */
  #forgetOldest(now: number): void {
    for (const [id, { expiresAt }] of this.#entries) {
      if (now < expiresAt && this.#entries.size <= MAX_STREAMS) break;
      this.#entries.delete(id);
    }
    const outdated = this.#changes.length - this.#entries.size;
    if (outdated <= Math.max(MAX_OUTDATED_CHANGES, this.#entries.size)) return;
    this.#changes = [...this.#entries]
      .map(([id, { revision }]) => ({ id, revision }));
  }
}

function addToGroup(
  groups: Map<string, gateway.StreamGroup>,
  id: string,
  { expiresAt, origin }: Entry,
  now: number,
): void {
  const key = JSON.stringify([origin.service, origin.softwareVersion]);
  const group = groups.get(key) ?? { ...origin, ids: [], remainingMs: [] };
  groups.set(key, group);
  group.ids.push(id);
  group.remainingMs.push(Math.round(expiresAt - now));
}

/** Whether two streams began at the same service and software version. */
export function isSameOrigin(
  one: gateway.StreamOrigin,
  other: gateway.StreamOrigin,
): boolean {
  return one.service === other.service &&
    one.softwareVersion === other.softwareVersion;
}

/** Reports that contradict one another leave the version unknown. */
function merge(
  known: gateway.StreamOrigin,
  reported: gateway.StreamOrigin,
): gateway.StreamOrigin {
  return isSameOrigin(known, reported)
    ? reported
    : { ...reported, softwareVersion: null };
}

/**
 * Infers where a stream began of which nothing was reported: only one service and
 * one software version come into question. Otherwise `null`, never a guess.
 *
 * @param services the services that its route distributes requests to
 *
 * @example
 * ```ts
 * inferOrigin(["advice"], state)?.softwareVersion; // "v1"
 * ```
 */
export function inferOrigin(
  services: readonly string[],
  state: Pick<GatewayState, "softwareVersions">,
): gateway.StreamOrigin | null {
  const [service] = services;
  if (service === undefined || services.length > 1) return null;
  const [softwareVersion, ...others] = state.softwareVersions(service);
  if (softwareVersion === undefined || others.length > 0) return null;
  return { service, softwareVersion };
}
