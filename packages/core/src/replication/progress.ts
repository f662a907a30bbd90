/**
 * Replication progress of one other replica, as known to the leader.
 *
 * @module
 */

import * as protocol from "@ebonypath/protocol";

/** Position of a snapshot transfer to a replica. */
export type SnapshotTransfer = {
  index: number;
  offset: number;
  requestedAt: number;
};

/**
 * How entries are sent to a replica.
 *
 * `probe` searches for the last common entry, `pipeline` sends entries ahead of
 * their acknowledgement, `snapshot` sends the parts of a snapshot.
 */
export type ReplicationMode =
  | { kind: "probe" }
  | { kind: "pipeline"; inflight: number[] }
  | { kind: "snapshot"; transfer: SnapshotTransfer };

/** Replication progress of one follower or learner. */
export class Progress {
  readonly id: string;
  matchIndex = 0;
  nextIndex: number;
  mode: ReplicationMode = { kind: "probe" };
  /** Leader's clock value at which the latest answered message was sent. */
  ackedSentAt = -Infinity;

  constructor(id: string, nextIndex: number) {
    this.id = id;
    this.nextIndex = nextIndex;
  }

  /**
   * Records the reply to a message sent at `sentAt`; ignores times in the
   * future.
   */
  recordReply(sentAt: number, now: number): void {
    if (sentAt <= now) {
      this.ackedSentAt = Math.max(this.ackedSentAt, sentAt);
    }
  }

  /** Records that the replica holds the entries up to `matchIndex`. */
  recordMatch(previousIndex: number, matchIndex: number): void {
    this.matchIndex = Math.max(this.matchIndex, matchIndex);
    switch (this.mode.kind) {
      case "probe":
        if (previousIndex >= this.nextIndex - 1) {
          this.#startPipeline(previousIndex + 1);
        }
        break;
      case "snapshot":
        if (this.matchIndex >= this.mode.transfer.index) {
          this.#startPipeline(this.matchIndex + 1);
        }
        break;
      case "pipeline":
        this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
        this.mode.inflight = this.mode.inflight.filter((lastIndex) =>
          lastIndex > this.matchIndex
        );
        break;
      default:
        protocol.errors.assertNever(this.mode);
    }
  }

  /**
   * Records a rejected append. Returns whether the next append has to start
   * elsewhere.
   */
  recordRejection(previousIndex: number, hint: number): boolean {
    if (previousIndex <= this.matchIndex || this.mode.kind === "snapshot") {
      return false;
    }
    const isStale = this.mode.kind === "probe" &&
      previousIndex !== this.nextIndex - 1;
    if (isStale) {
      return false;
    }
    const retryIndex = Math.min(previousIndex, hint + 1);
    this.nextIndex = Math.max(this.matchIndex + 1, retryIndex);
    this.mode = { kind: "probe" };
    return true;
  }

  /** Records entries sent ahead of their acknowledgement. */
  recordSent(lastIndex: number): void {
    if (this.mode.kind === "pipeline") {
      this.mode.inflight.push(lastIndex);
      this.nextIndex = lastIndex + 1;
    }
  }

  /** Whether more entries may be sent before an acknowledgement. */
  canSend(maxInflightAppends: number): boolean {
    return this.mode.kind === "pipeline" &&
      this.mode.inflight.length < maxInflightAppends;
  }

  #startPipeline(nextIndex: number): void {
    this.nextIndex = Math.max(nextIndex, this.matchIndex + 1);
    this.mode = { kind: "pipeline", inflight: [] };
  }
}
