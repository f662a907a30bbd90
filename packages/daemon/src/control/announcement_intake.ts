/**
 * Takes announcements of backend servers, in full or as heartbeats.
 *
 * @module
 */
import type * as core from "@ebonypath/core";
import type * as protocol from "@ebonypath/protocol";
import * as backend from "../backend/mod.ts";
import * as announcementNews from "./announcement_news.ts";
import type * as servers from "./server_table.ts";

/** What takes the announcements. */
export interface AnnouncementIntakeOptions {
  readonly placement: Pick<
    core.placement.Placement,
    "recordAnnouncement" | "latestAnnouncement"
  >;
  readonly servers: Pick<servers.ServerTable, "hear">;
}

/**
 * Restores the announcements that heartbeats stand for, so that everything
 * behind it sees the same as if each one had come in full.
 *
 * @example
 * ```ts
 * const unrecognized = intake.takeHeartbeats(heartbeats, performance.now());
 * ```
 */
export class AnnouncementIntake {
  readonly #options: AnnouncementIntakeOptions;
  /** Digests of announcements that were compared with a heartbeat. */
  readonly #digests = new WeakMap<protocol.backend.Announcement, string>();

  constructor(options: AnnouncementIntakeOptions) {
    this.#options = options;
  }

  /** Takes announcements in full; whether one of them is news to placement. */
  take(
    relayed: readonly protocol.control.RelayedAnnouncement[],
    now: number,
  ): boolean {
    let isNews = false;
    for (const { ageMs, ...announcement } of relayed) {
      const known = this.#options.placement.latestAnnouncement(announcement.id);
      if (!this.#hear(announcement, now - ageMs)) continue;
      isNews ||= announcementNews.isNews(known, announcement);
    }
    return isNews;
  }

  /** Takes heartbeats; returns the servers whose content is not known. */
  takeHeartbeats(
    heartbeats: readonly protocol.control.ServerHeartbeat[],
    now: number,
  ): string[] {
    const unrecognized: string[] = [];
    for (const heartbeat of heartbeats) {
      const announcement = this.#restore(heartbeat);
      if (announcement === undefined) unrecognized.push(heartbeat.id);
      else this.#hear(announcement, now - heartbeat.ageMs);
    }
    return unrecognized;
  }

  #hear(
    announcement: protocol.backend.Announcement,
    heardMs: number,
  ): boolean {
    const { placement, servers } = this.#options;
    if (!placement.recordAnnouncement(announcement, heardMs)) return false;
    servers.hear(announcement, heardMs);
    return true;
  }

  /** The announcement that a heartbeat stands for, if its content is known. */
  #restore(
    { id, digest, sequence, running, queued }: protocol.control.ServerHeartbeat,
  ): protocol.backend.Announcement | undefined {
    const known = this.#options.placement.latestAnnouncement(id);
    if (known === undefined) return undefined;
    if (this.#digestOf(known) !== digest) return undefined;
    const restored = { ...known, sequence, running, queued };
    this.#digests.set(restored, digest);
    return restored;
  }

  #digestOf(announcement: protocol.backend.Announcement): string {
    let digest = this.#digests.get(announcement);
    if (digest === undefined) {
      digest = backend.contentDigest(announcement);
      this.#digests.set(announcement, digest);
    }
    return digest;
  }
}
