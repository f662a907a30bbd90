/**
 * Sends a snapshot to a replica whose next entry was compacted.
 *
 * @module
 */

import type { Context } from "./context.ts";
import type { Progress, SnapshotTransfer } from "./progress.ts";
import type { Input, Message, SnapshotMetadata } from "./types.ts";

type SnapshotReply = Extract<Message, { kind: "snapshotReply" }>;
type SnapshotPart = Extract<Input, { kind: "snapshotPart" }>;

/**
 * Sends one part at a time, and reads and sends it again if it is not
 * acknowledged.
 */
export class SnapshotSender {
  #context: Context;

  constructor(context: Context) {
    this.#context = context;
  }

  /**
   * Sends a heartbeat, so that the replica keeps following this leader, and
   * starts or resumes the snapshot transfer.
   */
  sendHeartbeat(progress: Progress): void {
    const { term, now, snapshot, settings } = this.#context;
    this.#context.send(progress.id, { kind: "heartbeat", term, sentAt: now });
    if (snapshot === null) {
      return;
    }
    const transfer = this.#transferOf(progress);
    const isCurrent = transfer?.index === snapshot.index;
    if (transfer === null || !isCurrent) {
      this.#startTransfer(progress, snapshot);
    } else if (now - transfer.requestedAt >= settings.snapshotRetryMs) {
      transfer.requestedAt = now;
      this.#requestPart(progress, transfer);
    }
  }

  /** Sends a part that the owner has read from disk. */
  sendPart(progress: Progress, part: SnapshotPart): void {
    const { snapshot, term, now } = this.#context;
    const transfer = this.#transferOf(progress);
    const isExpected = snapshot !== null && transfer !== null &&
      part.index === snapshot.index && part.index === transfer.index &&
      part.offset === transfer.offset;
    if (isExpected) {
      this.#context.send(progress.id, {
        kind: "snapshotPart",
        term,
        snapshot,
        offset: part.offset,
        data: part.data,
        sentAt: now,
      });
    }
  }

  /** Processes an acknowledgement and requests the next part. */
  handleReply(progress: Progress, message: SnapshotReply): void {
    const { snapshot, now } = this.#context;
    const transfer = this.#transferOf(progress);
    const isCurrent = transfer?.index === message.index &&
      snapshot?.index === message.index;
    if (transfer === null || !isCurrent || snapshot === null) {
      return;
    }
    const isNew = message.offset !== transfer.offset;
    if (isNew && message.offset < snapshot.bytes) {
      transfer.offset = message.offset;
      transfer.requestedAt = now;
      this.#requestPart(progress, transfer);
    }
  }

  #transferOf(progress: Progress): SnapshotTransfer | null {
    return progress.mode.kind === "snapshot" ? progress.mode.transfer : null;
  }

  #startTransfer(progress: Progress, snapshot: SnapshotMetadata): void {
    const transfer = {
      index: snapshot.index,
      offset: 0,
      requestedAt: this.#context.now,
    };
    progress.mode = { kind: "snapshot", transfer };
    this.#requestPart(progress, transfer);
  }

  #requestPart(progress: Progress, transfer: SnapshotTransfer): void {
    this.#context.emit({
      kind: "readSnapshotPart",
      to: progress.id,
      index: transfer.index,
      offset: transfer.offset,
      length: this.#context.settings.snapshotPartBytes,
    });
  }
}
