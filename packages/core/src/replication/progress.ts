/**
 * What a leader knows of one other replica.
 *
 * @module
 */

import * as protocol from "@ebonypath/protocol";
/** How far a snapshot has been sent to a replica. */
export type SnapshotTransfer = {
  index: number;
  offset: number;
  requestedAt: number;
};

/**
 * How a replica is fed.
 *
 * `probe` looks for the last common entry, `pipeline` sends entries ahead of
 * their acknowledgement, `snapshot` sends the parts of a snapshot.
 */
export type Feed =
  | { kind: "probe" }
  | { kind: "pipeline"; inflight: number[] }
  | { kind: "snapshot"; transfer: SnapshotTransfer };

/** Progress of one follower or learner. */
export class Progress {
  readonly id: string;
  matchIndex = 0;
  nextIndex: number;
  feed: Feed = { kind: "probe" };
  /** Leader's clock at the send of the latest message that was answered. */
  answeredSentAt = -Infinity;

  constructor(id: string, nextIndex: number) {
    this.id = id;
    this.nextIndex = nextIndex;
  }

  /** Notes an answer to a message sent at `sentAt`. */
  answered(sentAt: number, now: number): void {
    if (sentAt <= now) {
      this.answeredSentAt = Math.max(this.answeredSentAt, sentAt);
    }
  }

  /** Notes that the replica holds the entries up to `matchIndex`. */
  matched(previousIndex: number, matchIndex: number): void {
    this.matchIndex = Math.max(this.matchIndex, matchIndex);
    switch (this.feed.kind) {
      case "probe":
        if (previousIndex >= this.nextIndex - 1) {
          this.#startPipeline(previousIndex + 1);
        }
        break;
      case "snapshot":
        if (this.matchIndex >= this.feed.transfer.index) {
          this.#startPipeline(this.matchIndex + 1);
        }
        break;
      case "pipeline":
        this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
        this.feed.inflight = this.feed.inflight.filter((lastIndex) =>
          lastIndex > this.matchIndex
        );
        break;
      default:
        protocol.errors.assertNever(this.feed);
    }
  }

  /** Notes a refused append; returns whether it changes what is sent next. */
  rejected(previousIndex: number, hint: number): boolean {
    if (previousIndex <= this.matchIndex || this.feed.kind === "snapshot") {
      return false;
    }
    const stale = this.feed.kind === "probe" &&
      previousIndex !== this.nextIndex - 1;
    if (stale) {
      return false;
    }
    const tryIndex = Math.min(previousIndex, hint + 1);
    this.nextIndex = Math.max(this.matchIndex + 1, tryIndex);
    this.feed = { kind: "probe" };
    return true;
  }

  /** Notes entries sent ahead of their acknowledgement. */
  sent(lastIndex: number): void {
    if (this.feed.kind === "pipeline") {
      this.feed.inflight.push(lastIndex);
      this.nextIndex = lastIndex + 1;
    }
  }

  /** Whether further entries may be sent. */
  hasRoom(inflightAppends: number): boolean {
    return this.feed.kind === "pipeline" &&
      this.feed.inflight.length < inflightAppends;
  }

  #startPipeline(nextIndex: number): void {
    this.nextIndex = Math.max(nextIndex, this.matchIndex + 1);
    this.feed = { kind: "pipeline", inflight: [] };
  }
}
