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
  installs: boolean;
  held: Send[];
};

/** Follows the syncs on the way to the disk. */
export class Durability {
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
  get hardStatePending(): boolean {
    return this.#pending.some((sync) => sync.changesHardState);
  }

  /** Whether a snapshot is being installed. */
  get installing(): boolean {
    return this.#pending.some((sync) => sync.installs);
  }

  /** Notes a new sync and returns its sequence number. */
  begin(
    lastIndex: number,
    kind: { changesHardState: boolean; installs: boolean },
  ): number {
    this.#sequence += 1;
    this.#pending.push({
      sequence: this.#sequence,
      lastIndex,
      ...kind,
      held: [],
    });
    return this.#sequence;
  }

  /** Keeps a message until every sync asked for so far is done. */
  hold(send: Send): boolean {
    const last = this.#pending.at(-1);
    last?.held.push(send);
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
  finish(sequence: number): Send[] {
    const released: Send[] = [];
    while (this.#pending[0] !== undefined) {
      const sync = this.#pending[0];
      if (sync.sequence > sequence) {
        break;
      }
      this.#durableIndex = Math.max(this.#durableIndex, sync.lastIndex);
      released.push(...sync.held);
      this.#pending.shift();
    }
    return released;
  }
}
