import * as protocol from "@ebonypath/protocol";
import type * as fleet from "../fleet/mod.ts";
import * as announcementBuffer from "./announcement_buffer.ts";

/** News within this time is passed on together, in ms. */
const COALESCING_MS = 20;
/** Time for one try, in milliseconds. */
const ATTEMPT_MS = 500;
/** Time for all tries; the server announces itself again soon, in ms. */
const TOTAL_MS = 1_000;

/** What a relay works with. */
export interface AnnouncementRelayOptions {
  readonly leader: Pick<fleet.LeaderClient, "call">;
  /** Asks for an exchange: a heartbeat must not wait for the next one. */
  requestExchange(): void;
}

/**
 * Passes announcements of backend servers on to the leader: news in full and
 * in batches, the rest as heartbeats in the exchanges of the host.
 */
export class AnnouncementRelay implements Disposable {
  readonly #options: AnnouncementRelayOptions;
  readonly #book = new announcementBuffer.AnnouncementBuffer();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: AnnouncementRelayOptions) {
    this.#options = options;
  }

  /** Takes an announcement; a later one of the same server replaces it. */
  add(announcement: protocol.backend.Announcement): void {
    const form = this.#book.add(announcement, performance.now());
    switch (form.kind) {
      case "full":
        this.#timer ??= setTimeout(() => this.#send(), COALESCING_MS);
        return;
      case "heartbeat":
        if (form.isUrgent) this.#options.requestExchange();
        return;
      case "dropped":
        return;
      default:
        protocol.errors.assertNever(form);
    }
  }

  /** Takes the heartbeats for an exchange. */
  takeHeartbeats(): announcementBuffer.BufferedAnnouncement[] {
    return this.#book.takeHeartbeats(performance.now());
  }

  /** Gives heartbeats back whose exchange failed. */
  returnHeartbeats(
    sent: readonly announcementBuffer.BufferedAnnouncement[],
  ): void {
    this.#book.requeueHeartbeats(sent);
  }

  /** Sends announcements in full whose content the leader does not know. */
  sendInFull(ids: readonly string[]): void {
    if (ids.length === 0) return;
    this.#book.requireFull(ids);
    this.#send();
  }

  [Symbol.dispose](): void {
    clearTimeout(this.#timer);
  }

  #send(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    let batch = this.#book.takeFull(performance.now());
    while (batch.length > 0) {
      void this.#pass(batch);
      batch = this.#book.takeFull(performance.now());
    }
  }

  async #pass(
    batch: readonly announcementBuffer.BufferedAnnouncement[],
  ): Promise<void> {
    try {
      await this.#options.leader.call(
        protocol.control.ANNOUNCE_METHOD,
        () => ({ announcements: rendered(batch) }),
        { attemptMs: ATTEMPT_MS, totalMs: TOTAL_MS, retryable: true },
      );
      this.#book.markForwarded(batch);
    } catch {
      // The servers announce themselves again within a second.
    }
  }
}

function rendered(
  batch: readonly announcementBuffer.BufferedAnnouncement[],
): protocol.control.RelayedAnnouncement[] {
  const now = performance.now();
  return batch.map((held) =>
    announcementBuffer.toRelayedAnnouncement(held, now)
  );
}
