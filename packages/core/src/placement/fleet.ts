import type * as protocol from "@ebonypath/protocol";
import * as types from "./types.ts";

/** Most backend servers that are remembered. */
const MAX_SERVERS = 20_000;

/** A backend server as its newest announcement shows it. */
export interface AnnouncedServer {
  readonly announcement: protocol.backend.Announcement;
  /** When its incarnation was heard first, and last. */
  readonly firstSeenMs: number;
  readonly lastSeenMs: number;
  /** A host has found it dead since it was heard last. */
  readonly isDown: boolean;
  /** When a host found its incarnation dead; -Infinity if none did. */
  readonly markedDownMs: number;
}

/**
 * The announcements that this leader has heard.
 *
 * An announcement is under way for at most `ANNOUNCEMENT_DELAY_MS`. So one of
 * another incarnation is older than the known one only within that time of
 * the first hearing, and is ignored then; a live process announces again.
 */
export class ServerRegistry {
  readonly #servers = new Map<string, AnnouncedServer>();
  /** Ids in their order; undefined when they have changed. */
  #ids: string[] | undefined;

  /**
   * Takes an announcement; false if it is older than the known one.
   *
   * @param heardMs when a host received it: one that was held there does not
   *   show that the server still lives
   */
  recordAnnouncement(
    announcement: protocol.backend.Announcement,
    heardMs: number,
  ): boolean {
    const known = this.#servers.get(announcement.id);
    if (known === undefined) return this.#add(announcement, heardMs);
    if (known.announcement.incarnation === announcement.incarnation) {
      if (announcement.sequence <= known.announcement.sequence) return false;
      this.#servers.set(announcement.id, {
        ...known,
        announcement,
        lastSeenMs: Math.max(known.lastSeenMs, heardMs),
        isDown: heardMs < known.markedDownMs,
      });
      return true;
    }
    if (heardMs - known.firstSeenMs <= types.MAX_ANNOUNCEMENT_DELAY_MS) {
      return false;
    }
    return this.#add(announcement, heardMs);
  }

  /** Takes a host's word that an incarnation is dead, until it is heard. */
  markDown(id: string, incarnation: string, nowMs: number): void {
    const known = this.incarnation(id, incarnation);
    if (known === undefined) return;
    this.#servers.set(id, { ...known, isDown: true, markedDownMs: nowMs });
  }

  get(id: string): AnnouncedServer | undefined {
    return this.#servers.get(id);
  }

  /** All servers in the order of their ids. */
  list(): AnnouncedServer[] {
    this.#ids ??= [...this.#servers.keys()].sort();
    return this.#ids.flatMap((id) => this.#servers.get(id) ?? []);
  }

  /** The server, if it announces itself under this incarnation. */
  incarnation(id: string, incarnation: string): AnnouncedServer | undefined {
    const server = this.#servers.get(id);
    return server?.announcement.incarnation === incarnation
      ? server
      : undefined;
  }

  /** Whether an incarnation has ended for certain. */
  isReplaced(id: string, incarnation: string): boolean {
    const server = this.#servers.get(id);
    if (server === undefined) return false;
    if (server.announcement.incarnation === incarnation) return false;
    const span = server.lastSeenMs - server.firstSeenMs;
    return span > types.MAX_ANNOUNCEMENT_DELAY_MS;
  }

  /** Removes servers that have been silent for long. */
  expire(nowMs: number): void {
    for (const [id, { lastSeenMs: heardMs }] of this.#servers) {
      if (nowMs - heardMs <= types.FORGET_SILENT_AFTER_MS) continue;
      this.#servers.delete(id);
      this.#ids = undefined;
    }
  }

  #add(
    announcement: protocol.backend.Announcement,
    heardMs: number,
  ): boolean {
    const isNew = !this.#servers.has(announcement.id);
    if (isNew && this.#servers.size >= MAX_SERVERS) return false;
    const server = {
      announcement,
      firstSeenMs: heardMs,
      lastSeenMs: heardMs,
      isDown: false,
      markedDownMs: Number.NEGATIVE_INFINITY,
    };
    this.#servers.set(announcement.id, server);
    if (isNew) this.#ids = undefined;
    return true;
  }
}

/** Whether the newest announcement is one to base a decision on. */
export function isFresh(server: AnnouncedServer, nowMs: number): boolean {
  return !server.isDown && nowMs - server.lastSeenMs <= types.MAX_FRESH_AGE_MS;
}

/** Whether an announcement lists a version of a model. */
export function lists(
  server: AnnouncedServer,
  model: string,
  version: string,
): boolean {
  return listed(server, model, version) !== undefined;
}

/** What an announcement says of a version of a model. */
export function listed(
  server: AnnouncedServer,
  model: string,
  version: string,
): protocol.backend.LoadedModel | undefined {
  return server.announcement.loaded.find((item) =>
    item.model === model && item.version === version
  );
}

/** Where a server would load a version of a model from. */
export function placeOf(
  server: AnnouncedServer,
  model: string,
  version: string,
): types.WeightSource {
  const places = server.announcement.cached
    .filter((item) => item.model === model && item.version === version)
    .map((item) => item.place);
  if (places.includes("memory")) return "memory";
  return places.includes("disk") ? "disk" : "store";
}
