/**
 * Records of the write-ahead log, and the state that results from replaying
 * them.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import * as protocol from "@ebonypath/protocol";
import * as v from "valibot";

const nonNegativeInteger = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

const baseSchema = v.object({
  kind: v.literal("base"),
  index: nonNegativeInteger,
  hardState: protocol.replication.hardStateSchema,
  entries: v.array(protocol.replication.entrySchema),
});

const changeSchema = v.object({
  kind: v.literal("change"),
  hardState: v.nullable(protocol.replication.hardStateSchema),
  truncateFrom: v.nullable(nonNegativeInteger),
  entries: v.array(protocol.replication.entrySchema),
});

const recordsSchema = v.array(v.variant("kind", [baseSchema, changeSchema]));

/**
 * The complete log state, with the entries that follow `index`. It supersedes
 * all earlier records.
 */
export type BaseRecord = v.InferOutput<typeof baseSchema>;
/** One change of the hard state and of the entries. */
export type ChangeRecord = v.InferOutput<typeof changeSchema>;
/** A record of the write-ahead log. */
export type LogRecord = BaseRecord | ChangeRecord;

/** Encodes records as the content of one frame. */
export function encodeRecords(records: LogRecord[]): Buffer {
  return Buffer.from(JSON.stringify(records));
}

/** Decodes the content of a frame; throws when it holds no valid records. */
export function decodeRecords(content: Buffer): LogRecord[] {
  return v.parse(recordsSchema, JSON.parse(content.toString("utf8")));
}

/** Term, vote and entries after replaying records. */
export class LogState {
  baseIndex = 0;
  hardState: protocol.replication.HardState = { term: 0, vote: null };
  entries: protocol.replication.Entry[] = [];

  /** Index of the last entry. */
  get lastIndex(): number {
    return this.baseIndex + this.entries.length;
  }

  /** Term of the entry at an index; undefined when the log does not hold it. */
  termAt(index: number): number | undefined {
    return this.entries[index - this.baseIndex - 1]?.term;
  }

  /** Entries that follow an index. */
  entriesAfter(index: number): protocol.replication.Entry[] {
    return this.entries.slice(Math.max(0, index - this.baseIndex));
  }

  /** Applies a record; throws when it does not continue the current state. */
  apply(record: LogRecord): void {
    switch (record.kind) {
      case "base":
        this.baseIndex = record.index;
        this.hardState = record.hardState;
        this.entries = [];
        this.#append(record.entries);
        return;
      case "change":
        this.#applyChange(record);
        return;
      default:
        protocol.errors.assertNever(record);
    }
  }

  #applyChange({ hardState, truncateFrom, entries }: ChangeRecord): void {
    this.hardState = hardState ?? this.hardState;
    if (truncateFrom !== null) {
      const keptCount = truncateFrom - this.baseIndex - 1;
      if (keptCount < 0 || keptCount > this.entries.length) {
        throw new RangeError(
          `cannot truncate the log at entry ${truncateFrom}: index out of range`,
        );
      }
      this.entries.length = keptCount;
    }
    this.#append(entries);
  }

  #append(entries: protocol.replication.Entry[]): void {
    for (const entry of entries) {
      if (entry.index !== this.lastIndex + 1) {
        throw new RangeError(
          `entry ${entry.index} does not follow entry ${this.lastIndex}`,
        );
      }
      this.entries.push(entry);
    }
  }
}
