/**
 * In-memory part of the replicated log.
 *
 * @module
 */

import * as protocol from "@ebonypath/protocol";
import type { Entry, Payload } from "./types.ts";

const PAYLOAD_OVERHEAD_BYTES = 64;
const MEMBER_SIZE_BYTES = 128;

/**
 * Approximate size of a payload in bytes, for limits on memory and message
 * size.
 */
export function payloadSizeBytes(payload: Payload): number {
  switch (payload.kind) {
    case "noop":
      return PAYLOAD_OVERHEAD_BYTES;
    case "command":
      return PAYLOAD_OVERHEAD_BYTES + payload.data.length;
    case "membership": {
      const { voters, learners } = payload.membership;
      return PAYLOAD_OVERHEAD_BYTES + (payload.note?.length ?? 0) +
        MEMBER_SIZE_BYTES * (voters.length + learners.length);
    }
    default:
      protocol.errors.assertNever(payload);
  }
}

/**
 * Contiguous entries after a base index. Of the base entry only the term is
 * kept.
 */
export class Log {
  #baseIndex: number;
  #baseTerm: number;
  #entries: Entry[];

  constructor(baseIndex: number, baseTerm: number, entries: Entry[]) {
    this.#baseIndex = baseIndex;
    this.#baseTerm = baseTerm;
    this.#entries = [];
    this.append(entries);
  }

  /** Index of the last compacted entry. */
  get baseIndex(): number {
    return this.#baseIndex;
  }

  get lastIndex(): number {
    return this.#baseIndex + this.#entries.length;
  }

  /** Term of the last entry, or of the base if there is none. */
  get lastTerm(): number {
    return this.#entries.at(-1)?.term ?? this.#baseTerm;
  }

  /**
   * Term at an index; undefined if the entry is compacted or not yet written.
   */
  termAt(index: number): number | undefined {
    if (index === this.#baseIndex) {
      return this.#baseTerm;
    }
    return this.#entries[index - this.#baseIndex - 1]?.term;
  }

  /** Entries from `from` to `to`, both inclusive. */
  slice(from: number, to: number): Entry[] {
    const start = from - this.#baseIndex - 1;
    return this.#entries.slice(start, to - this.#baseIndex);
  }

  /** Entries from `from` on within the limits; at least one if there is any. */
  batch(from: number, maximumEntries: number, maximumBytes: number): Entry[] {
    const batch: Entry[] = [];
    let bytes = 0;
    let position = from - this.#baseIndex - 1;
    while (batch.length < maximumEntries) {
      const entry = this.#entries[position];
      if (entry === undefined) {
        break;
      }
      bytes += payloadSizeBytes(entry.payload);
      if (batch.length > 0 && bytes > maximumBytes) {
        break;
      }
      batch.push(entry);
      position += 1;
    }
    return batch;
  }

  /**
   * Index of the first of the last entries up to `index` that are within both
   * limits; `index + 1` if the entry at `index` alone exceeds one of them.
   */
  firstWithin(
    index: number,
    maximumEntries: number,
    maximumBytes: number,
  ): number {
    let first = index + 1;
    let bytes = 0;
    while (index + 1 - first < maximumEntries) {
      const entry = this.#entries[first - this.#baseIndex - 2];
      if (entry === undefined) break;
      bytes += payloadSizeBytes(entry.payload);
      if (bytes > maximumBytes) break;
      first -= 1;
    }
    return first;
  }

  /** Appends entries that directly follow the last one. */
  append(entries: Entry[]): void {
    for (const entry of entries) {
      if (entry.index !== this.lastIndex + 1) {
        throw new RangeError(
          `entry ${entry.index} does not follow the last entry, ${this.lastIndex}`,
        );
      }
      this.#entries.push(entry);
    }
  }

  /** Removes the entries from `index` on. */
  truncateFrom(index: number): void {
    this.#entries.length = index - this.#baseIndex - 1;
  }

  /**
   * Removes the entries up to and including `index`, which becomes the base.
   */
  compact(index: number): void {
    const term = this.termAt(index);
    if (term === undefined) {
      return;
    }
    this.#entries = this.#entries.slice(index - this.#baseIndex);
    this.#baseIndex = index;
    this.#baseTerm = term;
  }

  /** Drops all entries and sets a new base. */
  reset(index: number, term: number): void {
    this.#entries = [];
    this.#baseIndex = index;
    this.#baseTerm = term;
  }

  /** Last index before `index` whose term differs from the term at `index`. */
  lastIndexOfEarlierTerm(index: number): number {
    const term = this.termAt(index);
    let earlier = index;
    while (earlier > this.#baseIndex && this.termAt(earlier) === term) {
      earlier -= 1;
    }
    return earlier;
  }
}
