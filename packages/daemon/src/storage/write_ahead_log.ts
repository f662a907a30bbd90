/**
 * The write-ahead log: a sequence of numbered segment files.
 *
 * The sequence starts with a base segment, whose first record holds the complete
 * log state. A new base segment supersedes all segments before it.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import { DamageError, NoSpaceError } from "./errors.ts";
import type { AppendFile, StoreFolder } from "./folder.ts";
import * as frame from "./frame.ts";
import * as record from "./log_record.ts";
import type { SpaceWaiter } from "./space_waiter.ts";

const NAME_PATTERN = /^log-(\d{10})(-base)?\.wal$/;
const NUMBER_DIGITS = 10;

type Segment = { name: string; number: number; isBase: boolean };

/** The write-ahead log in one store folder. Writes wait while its disk is full. */
export class WriteAheadLog {
  readonly state = new record.LogState();
  #folder: StoreFolder;
  #space: SpaceWaiter;
  #maxSegmentBytes: number;
  #currentNumber = 0;
  #currentName = "";
  #currentFile: AppendFile | null = null;
  /** Bytes of the current segment that are synced. */
  #currentBytes = 0;
  /** Whether the current segment may continue after its synced bytes. */
  #hasUnsyncedBytes = false;

  constructor(
    folder: StoreFolder,
    space: SpaceWaiter,
    maxSegmentBytes: number,
  ) {
    this.#folder = folder;
    this.#space = space;
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
    this.#currentName = last.name;
    await this.#syncRecovered(last.name);
    await this.#space.run(() =>
      this.#removeSegmentsBefore(chain[0]?.number ?? 0)
    );
    return true;
  }

  /** Appends changes as one frame and syncs the frame. */
  async append(changes: record.ChangeRecord[]): Promise<void> {
    changes.forEach((change) => this.state.apply(change));
    const data = frame.encodeFrame(record.encodeRecords(changes));
    await this.#space.run(() => this.#appendFrame(data));
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
    const number = this.#currentNumber + 1;
    const data = frame.encodeFrame(record.encodeRecords([base]));
    const name = segmentName(number, true);
    // Once it may be renamed, no frame must follow in the segment before it.
    await this.#space.run(() => this.#folder.writeAtomically(name, [data]));
    await this.#space.run(() => this.#continueIn(name, number, data.length));
    await this.#space.run(() => this.#removeSegmentsBefore(number));
  }

  /** Closes the current segment. */
  async close(): Promise<void> {
    const file = this.#currentFile;
    this.#currentFile = null;
    await file?.close();
  }

  /** Writes and syncs a frame; may be repeated after a failure. */
  async #appendFrame(data: Uint8Array): Promise<void> {
    if (this.#hasUnsyncedBytes) {
      await this.#removeUnsyncedBytes();
    }
    const file = await this.#segmentToAppend();
    this.#hasUnsyncedBytes = true;
    await file.write(data);
    await file.sync();
    this.#hasUnsyncedBytes = false;
    this.#currentBytes += data.length;
  }

  /**
   * Truncates the current segment to its synced bytes. After a failed sync, a
   * later one that succeeds says nothing of the bytes before it.
   */
  async #removeUnsyncedBytes(): Promise<void> {
    await this.close();
    await this.#folder.truncate(this.#currentName, this.#currentBytes);
    this.#currentFile = await this.#folder.append(this.#currentName);
    this.#hasUnsyncedBytes = false;
  }

  async #segmentToAppend(): Promise<AppendFile> {
    const current = this.#currentFile;
    if (current !== null && this.#currentBytes < this.#maxSegmentBytes) {
      return current;
    }
    const number = this.#currentNumber + 1;
    return await this.#continueIn(segmentName(number, false), number, 0);
  }

  /** Makes a segment the current one, and creates it if necessary. */
  async #continueIn(
    name: string,
    number: number,
    bytes: number,
  ): Promise<AppendFile> {
    await this.close();
    const file = await this.#folder.append(name);
    try {
      await this.#folder.sync();
    } catch (error) {
      await file.close();
      throw error;
    }
    this.#currentFile = file;
    this.#currentName = name;
    this.#currentNumber = number;
    this.#currentBytes = bytes;
    return file;
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
      const end = offset;
      await this.#space.run(() => this.#folder.truncate(segment.name, end));
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

  /**
   * Opens the last segment and syncs it: a killed process may have left changes
   * that were replayed and are not stored. When the disk is too full for them,
   * a base segment replaces them, since a later sync may not store them either.
   */
  async #syncRecovered(name: string): Promise<void> {
    try {
      this.#currentFile = await this.#folder.append(name);
      await this.#currentFile.sync();
      await this.#folder.sync();
    } catch (error) {
      if (!(error instanceof NoSpaceError)) throw error;
      await this.writeBase(this.state.baseIndex, true);
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
