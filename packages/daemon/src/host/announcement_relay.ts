import * as protocol from "@ebonypath/protocol";
import type * as fleet from "../fleet/mod.ts";
import * as announcementBuffer from "./announcement_buffer.ts";

/** Full announcements within this time are sent in one batch, in ms. */
const BATCH_DELAY_MS = 20;
/** Timeout of one attempt, in milliseconds. */
const ATTEMPT_MS = 500;
/**
 * Timeout over all attempts, in milliseconds. It can be short because servers
 * repeat their announcements.
 */
const TOTAL_MS = 1_000;

/** Dependencies of an {@link AnnouncementRelay}. */
export interface AnnouncementRelayOptions {
  readonly leader: Pick<fleet.LeaderClient, "call">;
  /** Requests an exchange for a heartbeat that must not wait for the next one. */
  requestExchange(): void;
}

/**
 * Forwards announcements of backend servers to the leader: new content in full
 * and in batches, unchanged content as heartbeats in the exchanges of the host.
 */
export class AnnouncementRelay implements Disposable {
  readonly #options: AnnouncementRelayOptions;
  readonly #buffer = new announcementBuffer.AnnouncementBuffer();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: AnnouncementRelayOptions) {
    this.#options = options;
  }

  /** Adds an announcement; it replaces an earlier one of the same server. */
  add(announcement: protocol.backend.Announcement): void {
    const mode = this.#buffer.add(announcement, performance.now());
    switch (mode.kind) {
      case "full":
        this.#timer ??= setTimeout(() => this.#sendBatches(), BATCH_DELAY_MS);
        return;
      case "heartbeat":
        if (mode.isUrgent) this.#options.requestExchange();
        return;
      case "dropped":
        return;
      default:
        protocol.errors.assertNever(mode);
    }
  }

  /** Removes and returns the heartbeats for an exchange. */
  takeHeartbeats(): announcementBuffer.BufferedAnnouncement[] {
    return this.#buffer.takeHeartbeats(performance.now());
  }

  /** Queues the heartbeats of a failed exchange again. */
  returnHeartbeats(
    sent: readonly announcementBuffer.BufferedAnnouncement[],
  ): void {
    this.#buffer.requeueHeartbeats(sent);
  }

  /** Sends the announcements of servers in full whose content the leader lacks. */
  sendInFull(ids: readonly string[]): void {
    if (ids.length === 0) return;
    this.#buffer.requireFull(ids);
    this.#sendBatches();
  }

  [Symbol.dispose](): void {
    clearTimeout(this.#timer);
  }

  #sendBatches(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    let batch = this.#buffer.takeFull(performance.now());
    while (batch.length > 0) {
      void this.#forward(batch);
      batch = this.#buffer.takeFull(performance.now());
    }
  }

  async #forward(
    batch: readonly announcementBuffer.BufferedAnnouncement[],
  ): Promise<void> {
    try {
      await this.#options.leader.call(
        protocol.control.ANNOUNCE_METHOD,
        () => ({ announcements: toMessages(batch) }),
        { attemptMs: ATTEMPT_MS, totalMs: TOTAL_MS, retryable: true },
      );
      this.#buffer.markAccepted(batch);
    } catch {
      // Ignored: the servers repeat their announcements within a second.
    }
  }
}

function toMessages(
  batch: readonly announcementBuffer.BufferedAnnouncement[],
): protocol.control.RelayedAnnouncement[] {
  const now = performance.now();
  return batch.map((announcement) =>
    announcementBuffer.toRelayedAnnouncement(announcement, now)
  );
}
