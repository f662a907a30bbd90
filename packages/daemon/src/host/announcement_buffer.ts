/**
 * Buffers the announcements of backend servers on a host and decides how each
 * one is forwarded to the leader.
 *
 * @module
 */
import * as protocol from "@ebonypath/protocol";
import type * as v from "valibot";
import * as backend from "../backend/mod.ts";

/** A buffered announcement that is older than this is not forwarded, in ms. */
export const MAX_BUFFERED_MS = 1_500;
/**
 * A server for which nothing was forwarded for this time is forwarded without
 * delay, in milliseconds: the leader considers a server silent after 3.5 s.
 */
const URGENT_AFTER_MS = 1_500;
/**
 * The same limit if an earlier heartbeat of the server is still buffered, in
 * milliseconds. It is longer because exchanges are one second apart, so that
 * the next one is about to take the heartbeat.
 */
const BUFFERED_URGENT_AFTER_MS = 2_500;
/** A server without an announcement for this time is removed, in ms. */
const EXPIRY_MS = 10_000;
/** Maximum number of backend servers in the buffer. */
const MAX_SERVERS = 20_000;

/** How an announcement is forwarded to the leader. */
export type ForwardingMode =
  /** In full and without delay: the leader may not know the content. */
  | { readonly kind: "full" }
  /** As a heartbeat in the next exchange; an urgent one requests an exchange. */
  | { readonly kind: "heartbeat"; readonly isUrgent: boolean }
  /** Not forwarded: the buffer has reached its maximum number of servers. */
  | { readonly kind: "dropped" };

/** An announcement that is waiting to be forwarded or is being sent. */
export interface BufferedAnnouncement {
  readonly announcement: protocol.backend.Announcement;
  readonly digest: string;
  /** Monotonic time, in milliseconds. */
  readonly receivedAt: number;
}

interface Entry extends BufferedAnnouncement {
  /** Digest of the content that the leader accepted last, if known. */
  acceptedDigest: string | undefined;
  /** Receive time of the announcement that was forwarded last. */
  forwardedAt: number;
}

/**
 * Holds the latest announcement of each server and the digest of the content
 * that the leader is assumed to know.
 *
 * The first announcement of a server is forwarded in full, and so is each one
 * whose content differs from what the leader accepted last. All others are
 * forwarded as heartbeats. If the assumption is wrong, the leader asks for the
 * content, which costs one round trip.
 *
 * @example
 * ```ts
 * const mode = buffer.add(announcement, performance.now());
 * if (mode.kind === "full") send(buffer.takeFull(performance.now()));
 * ```
 */
export class AnnouncementBuffer {
  /** The latest announcement of each server, by server id. */
  readonly #entries = new Map<string, Entry>();
  /** Ids of servers whose latest announcement waits to be sent in full. */
  readonly #full = new Set<string>();
  /** Ids of servers whose latest announcement waits to be sent as a heartbeat. */
  readonly #heartbeats = new Set<string>();

  /** Adds an announcement; it replaces an earlier one of the same server. */
  add(
    announcement: protocol.backend.Announcement,
    now: number,
  ): ForwardingMode {
    const { id } = announcement;
    const previous = this.#entries.get(id);
    if (previous === undefined && !this.#hasCapacity(now)) {
      return { kind: "dropped" };
    }
    const entry = {
      announcement,
      digest: backend.contentDigest(announcement),
      receivedAt: now,
      acceptedDigest: previous?.acceptedDigest,
      forwardedAt: previous?.forwardedAt ?? Number.NEGATIVE_INFINITY,
    };
    this.#entries.set(id, entry);
    if (entry.digest !== entry.acceptedDigest) {
      this.#queueFull(id);
      return { kind: "full" };
    }
    const urgentMs = this.#heartbeats.has(id)
      ? BUFFERED_URGENT_AFTER_MS
      : URGENT_AFTER_MS;
    this.#full.delete(id);
    this.#heartbeats.add(id);
    return { kind: "heartbeat", isUrgent: now - entry.forwardedAt > urgentMs };
  }

  /**
   * Removes and returns the announcements to be sent in full, at most as many as
   * fit one message.
   */
  takeFull(now: number): BufferedAnnouncement[] {
    const ids = [...this.#full].slice(
      0,
      protocol.control.MAX_RELAYED_ANNOUNCEMENTS,
    );
    const removed = this.#take(ids, this.#full, now);
    for (const entry of removed) entry.acceptedDigest = undefined;
    return removed.map(toBuffered);
  }

  /** Removes and returns the announcements to be sent as heartbeats. */
  takeHeartbeats(now: number): BufferedAnnouncement[] {
    this.#removeExpired(now);
    return this.#take([...this.#heartbeats], this.#heartbeats, now).map(
      toBuffered,
    );
  }

  /** Records that the leader accepted announcements in full. */
  markAccepted(sent: readonly BufferedAnnouncement[]): void {
    for (const { announcement, digest, receivedAt } of sent) {
      const entry = this.#entries.get(announcement.id);
      // A later announcement may be in flight, and the leader keeps the latest.
      if (entry === undefined || entry.forwardedAt > receivedAt) continue;
      entry.acceptedDigest = digest;
    }
  }

  /** Queues heartbeats again that may not have reached the leader. */
  requeueHeartbeats(sent: readonly BufferedAnnouncement[]): void {
    for (const { announcement: { id } } of sent) {
      const entry = this.#entries.get(id);
      if (entry === undefined) continue;
      entry.forwardedAt = Number.NEGATIVE_INFINITY;
      if (!this.#full.has(id)) this.#heartbeats.add(id);
    }
  }

  /** Queues servers in full whose content the leader does not know. */
  requireFull(ids: readonly string[]): void {
    for (const id of ids) {
      const entry = this.#entries.get(id);
      if (entry === undefined) continue;
      entry.acceptedDigest = undefined;
      this.#queueFull(id);
    }
  }

  #queueFull(id: string): void {
    this.#heartbeats.delete(id);
    this.#full.add(id);
  }

  #take(ids: readonly string[], queue: Set<string>, now: number): Entry[] {
    const removed: Entry[] = [];
    for (const id of ids) {
      queue.delete(id);
      const entry = this.#entries.get(id);
      if (entry === undefined || now - entry.receivedAt > MAX_BUFFERED_MS) {
        continue;
      }
      entry.forwardedAt = entry.receivedAt;
      removed.push(entry);
    }
    return removed;
  }

  #hasCapacity(now: number): boolean {
    if (this.#entries.size < MAX_SERVERS) return true;
    this.#removeExpired(now);
    return this.#entries.size < MAX_SERVERS;
  }

  #removeExpired(now: number): void {
    for (const [id, { receivedAt }] of this.#entries) {
      if (now - receivedAt <= EXPIRY_MS) continue;
      this.#entries.delete(id);
      this.#full.delete(id);
      this.#heartbeats.delete(id);
    }
  }
}

/** Returns the full message of an announcement, with its age at `now`. */
export function toRelayedAnnouncement(
  { announcement, receivedAt }: BufferedAnnouncement,
  now: number,
): protocol.control.RelayedAnnouncement {
  return { ...announcement, ageMs: ageOf(receivedAt, now) };
}

/** Returns the heartbeat of an announcement, with its age at `now`. */
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

/**
 * Returns an age in whole milliseconds. It is rounded up, so that the leader
 * never considers a server alive for longer than it is.
 */
function ageOf(receivedAt: number, now: number): number {
  return Math.max(0, Math.ceil(now - receivedAt));
}

function toBuffered(
  { announcement, digest, receivedAt }: Entry,
): BufferedAnnouncement {
  return { announcement, digest, receivedAt };
}
