import type * as protocol from "@ebonypath/protocol";
import * as types from "./types.ts";

/** Maximum number of registered backend servers. */
const MAX_SERVERS = 20_000;

/** A backend server with its newest announcement. */
export interface AnnouncedServer {
  readonly announcement: protocol.backend.Announcement;
  /** When the first announcement of this incarnation was received. */
  readonly firstSeenMs: number;
  /** Latest receipt of an announcement of this incarnation. */
  readonly lastSeenMs: number;
  /** Whether a host has reported it dead since `lastSeenMs`. */
  readonly isDown: boolean;
  /** When a host reported the incarnation dead; -Infinity if none did. */
  readonly markedDownMs: number;
}

/**
 * The backend servers whose announcements this leader has received.
 *
 * An announcement is delayed by at most `MAX_ANNOUNCEMENT_DELAY_MS`. For that
 * time after the first announcement of an incarnation, announcements of another
 * one may be older and are ignored. This loses nothing, because a live process
 * repeats its announcement.
 */
export class AnnouncedServers {
  readonly #servers = new Map<string, AnnouncedServer>();
  /** Sorted ids; undefined after a server was added or removed. */
  #ids: string[] | undefined;

  /**
   * Records an announcement. Returns false if it is older than the known one.
   *
   * @param receivedMs when a host received it. The time at which the leader
   *   gets it can be later and does not prove that the server is still alive.
   */
  recordAnnouncement(
    announcement: protocol.backend.Announcement,
    receivedMs: number,
  ): boolean {
    const known = this.#servers.get(announcement.id);
    if (known === undefined) return this.#add(announcement, receivedMs);
    if (known.announcement.incarnation === announcement.incarnation) {
      if (announcement.sequence <= known.announcement.sequence) return false;
      this.#servers.set(announcement.id, {
        ...known,
        announcement,
        lastSeenMs: Math.max(known.lastSeenMs, receivedMs),
        isDown: receivedMs < known.markedDownMs,
      });
      return true;
    }
    if (receivedMs - known.firstSeenMs <= types.MAX_ANNOUNCEMENT_DELAY_MS) {
      return false;
    }
    return this.#add(announcement, receivedMs);
  }

  /** Marks an incarnation as dead until its next announcement. */
  markDown(id: string, incarnation: string, nowMs: number): void {
    const known = this.getIncarnation(id, incarnation);
    if (known === undefined) return;
    this.#servers.set(id, { ...known, isDown: true, markedDownMs: nowMs });
  }

  get(id: string): AnnouncedServer | undefined {
    return this.#servers.get(id);
  }

  /** All servers, sorted by id. */
  list(): AnnouncedServer[] {
    this.#ids ??= [...this.#servers.keys()].sort();
    return this.#ids.flatMap((id) => this.#servers.get(id) ?? []);
  }

  /** Returns the server only if this is its current incarnation. */
  getIncarnation(id: string, incarnation: string): AnnouncedServer | undefined {
    const server = this.#servers.get(id);
    return server?.announcement.incarnation === incarnation
      ? server
      : undefined;
  }

  /**
   * Whether an incarnation has certainly ended: another one has announced
   * itself for longer than an announcement can be delayed.
   */
  hasIncarnationEnded(id: string, incarnation: string): boolean {
    const server = this.#servers.get(id);
    if (server === undefined) return false;
    if (server.announcement.incarnation === incarnation) return false;
    const span = server.lastSeenMs - server.firstSeenMs;
    return span > types.MAX_ANNOUNCEMENT_DELAY_MS;
  }

  /** Removes servers without announcements for `FORGET_SILENT_AFTER_MS`. */
  expire(nowMs: number): void {
    for (const [id, { lastSeenMs }] of this.#servers) {
      if (nowMs - lastSeenMs <= types.FORGET_SILENT_AFTER_MS) continue;
      this.#servers.delete(id);
      this.#ids = undefined;
    }
  }

  #add(
    announcement: protocol.backend.Announcement,
    receivedMs: number,
  ): boolean {
    const isNew = !this.#servers.has(announcement.id);
    if (isNew && this.#servers.size >= MAX_SERVERS) return false;
    const server = {
      announcement,
      firstSeenMs: receivedMs,
      lastSeenMs: receivedMs,
      isDown: false,
      markedDownMs: Number.NEGATIVE_INFINITY,
    };
    this.#servers.set(announcement.id, server);
    if (isNew) this.#ids = undefined;
    return true;
  }
}

/** Whether the newest announcement is recent enough for new decisions. */
export function isFresh(server: AnnouncedServer, nowMs: number): boolean {
  return !server.isDown && nowMs - server.lastSeenMs <= types.MAX_FRESH_AGE_MS;
}

/** Whether the newest announcement lists a version of a model as loaded. */
export function announcesModel(
  server: AnnouncedServer,
  model: string,
  version: string,
): boolean {
  return announcedModel(server, model, version) !== undefined;
}

/** The entry of a loaded model version in the newest announcement. */
export function announcedModel(
  server: AnnouncedServer,
  model: string,
  version: string,
): protocol.backend.LoadedModel | undefined {
  return server.announcement.loaded.find((item) =>
    item.model === model && item.version === version
  );
}

/** The fastest source from which a server can load a model version. */
export function weightSourceOf(
  server: AnnouncedServer,
  model: string,
  version: string,
): types.WeightSource {
  const sources = server.announcement.cached
    .filter((item) => item.model === model && item.version === version)
    .map((item) => item.place);
  if (sources.includes("memory")) return "memory";
  return sources.includes("disk") ? "disk" : "store";
}
