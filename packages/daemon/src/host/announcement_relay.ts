import * as protocol from "@ebonypath/protocol";
import type * as fleet from "../fleet/mod.ts";

/** Announcements within this time are passed on together, in ms. */
const COALESCING_MS = 20;
/** Time for one try, in milliseconds. */
const ATTEMPT_MS = 500;
/** Time for all tries; the server announces itself again soon, in ms. */
const TOTAL_MS = 1_000;

/** Passes announcements of backend servers on to the leader, in batches. */
export class AnnouncementRelay {
  readonly #leader: Pick<fleet.LeaderClient, "call">;
  /** The latest announcement of each server that is to be sent. */
  readonly #waiting = new Map<string, protocol.backend.Announcement>();
  #timer: NodeJS.Timeout | undefined;

  constructor(leader: Pick<fleet.LeaderClient, "call">) {
    this.#leader = leader;
  }

  /** Takes an announcement; a later one of the same server replaces it. */
  add(announcement: protocol.backend.Announcement): void {
    this.#waiting.set(announcement.id, announcement);
    this.#timer ??= setTimeout(() => this.#send(), COALESCING_MS);
  }

  [Symbol.dispose](): void {
    clearTimeout(this.#timer);
  }

  #send(): void {
    this.#timer = undefined;
    const announcements = [...this.#waiting.values()];
    this.#waiting.clear();
    this.#leader.call(
      protocol.control.ANNOUNCE_METHOD,
      { announcements },
      { attemptMs: ATTEMPT_MS, totalMs: TOTAL_MS, repeatable: true },
    ).catch(() => {
      // The servers announce themselves again within a second.
    });
  }
}
