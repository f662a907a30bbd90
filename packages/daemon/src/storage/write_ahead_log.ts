/**
 * The write-ahead log: a sequence of numbered segment files.
 *
 * The sequence starts with a base segment, whose first record holds the complete
 * log state. A new base segment supersedes all segments before it.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import { DamageError } from "./errors.ts";
import type { AppendFile, StoreFolder } from "./folder.ts";
import * as frame from "./frame.ts";
import * as record from "./log_record.ts";

const NAME_PATTERN = /^log-(\d{10})(-base)?\.wal$/;
const NUMBER_DIGITS = 10;

type Segment = { name: string; number: number; isBase: boolean };

/** The write-ahead log in one store folder. */
export class WriteAheadLog {
  readonly state = new record.LogState();
  #folder: StoreFolder;
  #maxSegmentBytes: number;
  #currentNumber = 0;
  #currentFile: AppendFile | null = null;
  #currentBytes = 0;

  constructor(folder: StoreFolder, maxSegmentBytes: number) {
    this.#folder = folder;
    this.#maxSegmentBytes = maxSegmentBytes;
  }

  /**
   * Replays the log into {@link WriteAheadLog.state}.
   *
   * @returns false when the folder holds no log
   */
  async recover(): Promise<boolean> {
    const segments = await this.#listSegments();
    const basePosition = segments.findLastIndex(({ isBase }) => isBase);
    const chain = segments.slice(Math.max(0, basePosition));
    if (chain.length === 0) {
      return false;
    }
    this.#checkSequence(chain);
    for (const segment of chain) {
      await this.#replay(segment, segment === chain.at(-1));
    }
    const last = chain.at(-1) as Segment;
    this.#currentNumber = last.number;
    this.#currentFile = await this.#folder.append(last.name);
    await this.#removeSegmentsBefore(chain[0]?.number ?? 0);
    return true;
  }

  /** Appends changes as one frame and syncs the frame. */
  async append(changes: record.ChangeRecord[]): Promise<void> {
    changes.forEach((change) => this.state.apply(change));
    const data = frame.encodeFrame(record.encodeRecords(changes));
    if (
      this.#currentFile === null || this.#currentBytes >= this.#maxSegmentBytes
    ) {
      await this.#startSegment();
    }
    await this.#currentFile?.write(data);
    await this.#currentFile?.sync();
    this.#currentBytes += data.length;
  }

  /**
   * Writes a base segment that starts after the entry `index`, and removes the
   * segments before it.
   */
  async writeBase(index: number, keepEntries: boolean): Promise<void> {
    const base: record.BaseRecord = {
      kind: "base",
      index,
      hardState: this.state.hardState,
      entries: keepEntries ? this.state.entriesAfter(index) : [],
    };
    this.state.apply(base);
    this.#currentNumber += 1;
    const data = frame.encodeFrame(record.encodeRecords([base]));
    const name = segmentName(this.#currentNumber, true);
    await this.#folder.writeAtomically(name, [data]);
    await this.#currentFile?.close();
    this.#currentFile = await this.#folder.append(name);
    this.#currentBytes = data.length;
    await this.#removeSegmentsBefore(this.#currentNumber);
  }

  /** Closes the current segment. */
  async close(): Promise<void> {
    await this.#currentFile?.close();
    this.#currentFile = null;
  }

  async #startSegment(): Promise<void> {
    await this.#currentFile?.close();
    this.#currentNumber += 1;
    this.#currentFile = await this.#folder.append(
      segmentName(this.#currentNumber, false),
    );
    await this.#folder.sync();
    this.#currentBytes = 0;
  }

  async #listSegments(): Promise<Segment[]> {
    const segments: Segment[] = [];
    for (const name of await this.#folder.list()) {
      const match = NAME_PATTERN.exec(name);
      if (match !== null) {
        const isBase = match[2] !== undefined;
        segments.push({ name, number: Number(match[1]), isBase });
      }
    }
    return segments.sort((left, right) => left.number - right.number);
  }

  #checkSequence(chain: Segment[]): void {
    const first = chain[0] as Segment;
    chain.forEach(({ name, number }, position) => {
      const isExpected = number === first.number + position;
      if (!first.isBase || !isExpected) {
        const file = this.#folder.pathOf(name);
        throw new DamageError(file, 0, "the preceding segment file is missing");
      }
    });
  }

  /**
   * Replays one segment. An invalid frame at the end of the last segment is a
   * torn write and is truncated. An invalid frame elsewhere is an error, and so
   * is one that a valid frame follows, or the base record: it was synced under a
   * temporary name before its segment appeared.
   */
  async #replay(segment: Segment, isLast: boolean): Promise<void> {
    const file = this.#folder.pathOf(segment.name);
    const data = await this.#folder.read(segment.name);
    if (data === null) {
      throw new DamageError(file, 0, "the segment file is missing");
    }
    let offset = 0;
    for (;;) {
      const result = frame.readFrame(data, offset);
      if (result.kind === "end") {
        break;
      }
      if (result.kind === "frame") {
        this.#applyFrame(file, offset, result.content);
        offset = result.end;
        continue;
      }
      const mayBeTornWrite = isLast && !(segment.isBase && offset === 0);
      if (!mayBeTornWrite || frame.hasFrameAfter(data, offset)) {
        const reason = result.kind === "damaged"
          ? result.reason
          : "unexpected end of file";
        throw new DamageError(file, offset, reason);
      }
      await this.#folder.truncate(segment.name, offset);
      break;
    }
    this.#currentBytes = offset;
  }

  #applyFrame(file: string, offset: number, content: Buffer): void {
    try {
      record.decodeRecords(content).forEach((decoded) =>
        this.state.apply(decoded)
      );
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      throw new DamageError(file, offset, reason);
    }
  }

  async #removeSegmentsBefore(number: number): Promise<void> {
    for (const segment of await this.#listSegments()) {
      if (segment.number < number) {
        await this.#folder.remove(segment.name);
      }
    }
  }
}

function segmentName(number: number, isBase: boolean): string {
  const digits = String(number).padStart(NUMBER_DIGITS, "0");
  return `log-${digits}${isBase ? "-base" : ""}.wal`;
}
