/**
 * Disk syncs in progress and the messages that wait for them.
 *
 * @module
 */

import type { Effect } from "./types.ts";

type Send = Extract<Effect, { kind: "send" }>;

type PendingSync = {
  sequence: number;
  lastIndex: number;
  changesHardState: boolean;
  installsSnapshot: boolean;
  deferredSends: Send[];
};

/**
 * Maximum messages that wait for syncs. Senders repeat lost messages, so the
 * oldest ones may be dropped when syncs take long.
 */
const MAX_DEFERRED_SENDS = 1_000;

/** Tracks the disk syncs that were requested and are not yet confirmed. */
export class SyncTracker {
  #durableIndex: number;
  #pending: PendingSync[] = [];
  #sequence = 0;
  #deferredSends = 0;

  constructor(durableIndex: number) {
    this.#durableIndex = durableIndex;
  }

  /** Index up to which the entries of the current log are synced. */
  get durableIndex(): number {
    return this.#durableIndex;
  }

  /** Sequence number of the last requested sync. */
  get lastSequence(): number {
    return this.#sequence;
  }

  /** Whether a change of term or vote is being synced. */
  get isHardStatePending(): boolean {
    return this.#pending.some((sync) => sync.changesHardState);
  }

  /** Whether a snapshot is being installed. */
  get isInstallingSnapshot(): boolean {
    return this.#pending.some((sync) => sync.installsSnapshot);
  }

  /** Registers a requested sync and returns its sequence number. */
  beginSync(
    lastIndex: number,
    flags: { changesHardState: boolean; installsSnapshot: boolean },
  ): number {
    this.#sequence += 1;
    this.#pending.push({
      sequence: this.#sequence,
      lastIndex,
      ...flags,
      deferredSends: [],
    });
    return this.#sequence;
  }

  /**
   * Holds back a message until all syncs requested so far are done. Returns
   * false if no sync is pending.
   */
  deferSend(send: Send): boolean {
    const last = this.#pending.at(-1);
    if (last === undefined) {
      return false;
    }
    last.deferredSends.push(send);
    this.#deferredSends += 1;
    if (this.#deferredSends > MAX_DEFERRED_SENDS) {
      this.#dropOldestSend();
    }
    return true;
  }

  /** Records that the entries from `index` on were replaced or removed. */
  truncateFrom(index: number): void {
    this.#durableIndex = Math.min(this.#durableIndex, index - 1);
    for (const sync of this.#pending) {
      sync.lastIndex = Math.min(sync.lastIndex, index - 1);
    }
  }

  /**
   * Marks all syncs up to `sequence` as done and returns the messages that
   * waited for them.
   */
  completeSyncs(sequence: number): Send[] {
    const released: Send[] = [];
    while (this.#pending[0] !== undefined) {
      const sync = this.#pending[0];
      if (sync.sequence > sequence) {
        break;
      }
      this.#durableIndex = Math.max(this.#durableIndex, sync.lastIndex);
      released.push(...sync.deferredSends);
      this.#pending.shift();
    }
    this.#deferredSends -= released.length;
    return released;
  }

  #dropOldestSend(): void {
    const oldest = this.#pending.find(({ deferredSends }) =>
      deferredSends.length > 0
    );
    oldest?.deferredSends.shift();
    this.#deferredSends -= 1;
  }
}
