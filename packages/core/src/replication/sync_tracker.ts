/**
 * Which entries are synced, and the messages that wait for a sync.
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

/** Follows the syncs on the way to the disk. */
export class SyncTracker {
  #durableIndex: number;
  #pending: PendingSync[] = [];
  #sequence = 0;

  constructor(durableIndex: number) {
    this.#durableIndex = durableIndex;
  }

  /** Index up to which the entries of the present log are synced. */
  get durableIndex(): number {
    return this.#durableIndex;
  }

  /** Sequence number of the last sync that was asked for. */
  get lastSequence(): number {
    return this.#sequence;
  }

  /** Whether a change of term or vote is on the way. */
  get isHardStatePending(): boolean {
    return this.#pending.some((sync) => sync.changesHardState);
  }

  /** Whether a snapshot is being installed. */
  get isInstallingSnapshot(): boolean {
    return this.#pending.some((sync) => sync.installsSnapshot);
  }

  /** Notes a new sync and returns its sequence number. */
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

  /** Keeps a message until every sync asked for so far is done. */
  deferSend(send: Send): boolean {
    const last = this.#pending.at(-1);
    last?.deferredSends.push(send);
    return last !== undefined;
  }

  /** Notes that the entries from `index` on were replaced or removed. */
  truncateFrom(index: number): void {
    this.#durableIndex = Math.min(this.#durableIndex, index - 1);
    for (const sync of this.#pending) {
      sync.lastIndex = Math.min(sync.lastIndex, index - 1);
    }
  }

  /** Notes finished syncs and returns the messages that waited for them. */
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
    return released;
  }
}
