/**
 * Records of the write-ahead log, and the state that they lead to.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import * as protocol from "@ebonypath/protocol";
import * as v from "valibot";

const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

const baseSchema = v.object({
  kind: v.literal("base"),
  index: count,
  hardState: protocol.replication.hardStateSchema,
  entries: v.array(protocol.replication.entrySchema),
});

const changeSchema = v.object({
  kind: v.literal("change"),
  hardState: v.nullable(protocol.replication.hardStateSchema),
  truncateFrom: v.nullable(count),
  entries: v.array(protocol.replication.entrySchema),
});

const recordsSchema = v.array(v.variant("kind", [baseSchema, changeSchema]));

/** The whole state of the log after the entry `index`. */
export type BaseRecord = v.InferOutput<typeof baseSchema>;
/** One change of the log. */
export type ChangeRecord = v.InferOutput<typeof changeSchema>;
/** A record of the write-ahead log. */
export type LogRecord = BaseRecord | ChangeRecord;

/** Content of the frame that holds some records. */
export function encodeRecords(records: LogRecord[]): Buffer {
  return Buffer.from(JSON.stringify(records));
}

/** Records in the content of a frame; throws when they are none. */
export function decodeRecords(content: Buffer): LogRecord[] {
  return v.parse(recordsSchema, JSON.parse(content.toString("utf8")));
}

/** Term, vote and entries as the records leave them. */
export class LogState {
  baseIndex = 0;
  hardState: protocol.replication.HardState = { term: 0, vote: null };
  entries: protocol.replication.Entry[] = [];

  /** Index of the last entry. */
  get lastIndex(): number {
    return this.baseIndex + this.entries.length;
  }

  /** Term of an entry that is held here. */
  termAt(index: number): number | undefined {
    return this.entries[index - this.baseIndex - 1]?.term;
  }

  /** Entries after an index. */
  entriesAfter(index: number): protocol.replication.Entry[] {
    return this.entries.slice(Math.max(0, index - this.baseIndex));
  }

  /** Takes up a record; throws when it does not fit. */
  apply(record: LogRecord): void {
    switch (record.kind) {
      case "base":
        this.baseIndex = record.index;
        this.hardState = record.hardState;
        this.entries = [];
        this.#append(record.entries);
        return;
      case "change":
        this.#change(record);
        return;
      default:
        protocol.errors.assertNever(record);
    }
  }

  #change({ hardState, truncateFrom, entries }: ChangeRecord): void {
    this.hardState = hardState ?? this.hardState;
    if (truncateFrom !== null) {
      const kept = truncateFrom - this.baseIndex - 1;
      if (kept < 0 || kept > this.entries.length) {
        throw new RangeError(`no entry ${truncateFrom} to remove`);
      }
      this.entries.length = kept;
    }
    this.#append(entries);
  }

  #append(entries: protocol.replication.Entry[]): void {
    for (const entry of entries) {
      if (entry.index !== this.lastIndex + 1) {
        throw new RangeError(
          `entry ${entry.index} does not follow ${this.lastIndex}`,
        );
      }
      this.entries.push(entry);
    }
  }
}
