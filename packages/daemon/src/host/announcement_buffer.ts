/**
 * Decides in which form a host passes on the announcements of backend servers.
 *
 * @module
 */
import * as protocol from "@ebonypath/protocol";
import type * as v from "valibot";
import * as backend from "../backend/mod.ts";

/** An announcement held for longer is not passed on any more, in ms. */
export const MAX_BUFFERED_MS = 1_500;
/**
 * A server of which nothing was passed on for this time is passed on at once,
 * in milliseconds: the leader takes a server as silent after 3.5 s.
 */
const URGENT_MS = 1_500;
/**
 * The same where an earlier announcement still waits, in milliseconds: the
 * next exchange is due at any moment, a second after the last.
 */
const WAITING_URGENT_MS = 2_500;
/** A server without an announcement for this time is forgotten, in ms. */
const FORGOTTEN_MS = 10_000;
/** Most backend servers that are remembered. */
const MAX_SERVERS = 20_000;

/** How an announcement is passed on. */
export type ForwardingMode =
  /** In full and at once: the leader may not know the content. */
  | { readonly kind: "full" }
  /** As a heartbeat: with the next exchange, or with one that is due now. */
  | { readonly kind: "heartbeat"; readonly isUrgent: boolean }
  /** Not at all: the host knows too many servers. */
  | { readonly kind: "dropped" };

/** An announcement that waits to be passed on, or is under way. */
export interface BufferedAnnouncement {
  readonly announcement: protocol.backend.Announcement;
  readonly digest: string;
  /** Monotonic, in milliseconds. */
  readonly receivedAt: number;
}

interface Entry extends BufferedAnnouncement {
  /** The content that the leader took last; undefined if it is not known. */
  passedDigest: string | undefined;
  /** When the announcement that was passed on last was received. */
  passedAt: number;
}

/**
 * The newest announcement of each server, and what the leader knows of it.
 *
 * The first announcement of a server, and each with another content than the
 * one that the leader took last, is passed on in full; any other one as a
 * heartbeat. A guess that is wrong costs a round trip: the leader asks for
 * what it does not know.
 *
 * @example
 * ```ts
 * const form = book.add(announcement, performance.now());
 * if (form.kind === "full") send(book.takeFull(performance.now()));
 * ```
 */
export class AnnouncementBuffer {
  readonly #entries = new Map<string, Entry>();
  /** Servers whose newest announcement waits, in each form. */
  readonly #full = new Set<string>();
  readonly #heartbeats = new Set<string>();

  /** Takes an announcement; a later one of the same server replaces it. */
  add(
    announcement: protocol.backend.Announcement,
    now: number,
  ): ForwardingMode {
    const { id } = announcement;
    const former = this.#entries.get(id);
    if (former === undefined && !this.#hasRoom(now)) return { kind: "dropped" };
    const entry = {
      announcement,
      digest: backend.contentDigest(announcement),
      receivedAt: now,
      passedDigest: former?.passedDigest,
      passedAt: former?.passedAt ?? Number.NEGATIVE_INFINITY,
    };
    this.#entries.set(id, entry);
    if (entry.digest !== entry.passedDigest) {
      this.#wantFull(id);
      return { kind: "full" };
    }
    const urgentMs = this.#heartbeats.has(id) ? WAITING_URGENT_MS : URGENT_MS;
    this.#full.delete(id);
    this.#heartbeats.add(id);
    return { kind: "heartbeat", isUrgent: now - entry.passedAt > urgentMs };
  }

  /** Takes what is to be passed on in full, as much as fits a message. */
  takeFull(now: number): BufferedAnnouncement[] {
    const ids = [...this.#full].slice(
      0,
      protocol.control.MAX_RELAYED_ANNOUNCEMENTS,
    );
    const taken = this.#take(ids, this.#full, now);
    for (const entry of taken) entry.passedDigest = undefined;
    return taken.map(heldOf);
  }

  /** Takes the heartbeats that wait. */
  takeHeartbeats(now: number): BufferedAnnouncement[] {
    this.#forget(now);
    return this.#take([...this.#heartbeats], this.#heartbeats, now).map(heldOf);
  }

  /** The leader took announcements in full. */
  markForwarded(sent: readonly BufferedAnnouncement[]): void {
    for (const { announcement, digest, receivedAt } of sent) {
      const entry = this.#entries.get(announcement.id);
      // A later one may be under way, and the leader keeps the latest.
      if (entry === undefined || entry.passedAt > receivedAt) continue;
      entry.passedDigest = digest;
    }
  }

  /** Heartbeats may not have reached the leader. */
  requeueHeartbeats(sent: readonly BufferedAnnouncement[]): void {
    for (const { announcement: { id } } of sent) {
      const entry = this.#entries.get(id);
      if (entry === undefined) continue;
      entry.passedAt = Number.NEGATIVE_INFINITY;
      if (!this.#full.has(id)) this.#heartbeats.add(id);
    }
  }

  /** The leader does not know the content of servers. */
  requireFull(ids: readonly string[]): void {
    for (const id of ids) {
      const entry = this.#entries.get(id);
      if (entry === undefined) continue;
      entry.passedDigest = undefined;
      this.#wantFull(id);
    }
  }

  #wantFull(id: string): void {
    this.#heartbeats.delete(id);
    this.#full.add(id);
  }

  #take(ids: readonly string[], from: Set<string>, now: number): Entry[] {
    const taken: Entry[] = [];
    for (const id of ids) {
      from.delete(id);
      const entry = this.#entries.get(id);
      if (entry === undefined || now - entry.receivedAt > MAX_BUFFERED_MS) {
        continue;
      }
      entry.passedAt = entry.receivedAt;
      taken.push(entry);
    }
    return taken;
  }

  #hasRoom(now: number): boolean {
    if (this.#entries.size < MAX_SERVERS) return true;
    this.#forget(now);
    return this.#entries.size < MAX_SERVERS;
  }

  #forget(now: number): void {
    for (const [id, { receivedAt }] of this.#entries) {
      if (now - receivedAt <= FORGOTTEN_MS) continue;
      this.#entries.delete(id);
      this.#full.delete(id);
      this.#heartbeats.delete(id);
    }
  }
}

/** Renders an announcement in full, with its age at `now`. */
export function toRelayedAnnouncement(
  { announcement, receivedAt }: BufferedAnnouncement,
  now: number,
): protocol.control.RelayedAnnouncement {
  return { ...announcement, ageMs: ageOf(receivedAt, now) };
}

/** Renders the heartbeat that stands for an announcement. */
export function toHeartbeat(
  { announcement, digest, receivedAt }: BufferedAnnouncement,
  now: number,
): v.InferInput<typeof protocol.control.ServerHeartbeat> {
  const { id, running, queued, sequence } = announcement;
  return {
    id,
    digest,
    sequence,
    ...(running === 0 ? {} : { running }),
    ...(queued === 0 ? {} : { queued }),
    ageMs: ageOf(receivedAt, now),
  };
}

/** Whole milliseconds, rounded up: a server must not seem to live longer. */
function ageOf(receivedAt: number, now: number): number {
  return Math.max(0, Math.ceil(now - receivedAt));
}

function heldOf(
  { announcement, digest, receivedAt }: Entry,
): BufferedAnnouncement {
  return { announcement, digest, receivedAt };
}
