/**
 * The write-ahead log: a chain of files that starts with a base.
 *
 * Every file is named by its number. A base file begins with a record of the
 * whole state; it replaces all files before it.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import { DamageError } from "./errors.ts";
import type { AppendFile, Folder } from "./folder.ts";
import * as frame from "./frame.ts";
import * as record from "./record.ts";

const NAME_PATTERN = /^log-(\d{10})(-base)?\.wal$/;
const NUMBER_DIGITS = 10;

type Segment = { name: string; number: number; isBase: boolean };

/** The files of the write-ahead log in one folder. */
export class Segments {
  readonly state = new record.LogState();
  #folder: Folder;
  #segmentBytes: number;
  #number = 0;
  #file: AppendFile | null = null;
  #bytes = 0;

  constructor(folder: Folder, segmentBytes: number) {
    this.#folder = folder;
    this.#segmentBytes = segmentBytes;
  }

  /** Reads the log into {@link Segments.state}; false when there is none. */
  async recover(): Promise<boolean> {
    const all = await this.#list();
    const base = all.findLastIndex(({ isBase }) => isBase);
    const chain = all.slice(Math.max(0, base));
    if (chain.length === 0) {
      return false;
    }
    this.#checkNumbers(chain);
    for (const segment of chain) {
      await this.#replay(segment, segment === chain.at(-1));
    }
    const last = chain.at(-1) as Segment;
    this.#number = last.number;
    this.#file = await this.#folder.append(last.name);
    await this.#removeBefore(chain[0]?.number ?? 0);
    return true;
  }

  /** Appends changes as one frame and syncs it. */
  async append(changes: record.ChangeRecord[]): Promise<void> {
    changes.forEach((change) => this.state.apply(change));
    const data = frame.encodeFrame(record.encodeRecords(changes));
    if (this.#file === null || this.#bytes >= this.#segmentBytes) {
      await this.#continueInNewFile();
    }
    await this.#file?.write(data);
    await this.#file?.sync();
    this.#bytes += data.length;
  }

  /** Starts the log anew after the entry `index`. */
  async rebase(index: number, keepEntries: boolean): Promise<void> {
    const base: record.BaseRecord = {
      kind: "base",
      index,
      hardState: this.state.hardState,
      entries: keepEntries ? this.state.entriesAfter(index) : [],
    };
    this.state.apply(base);
    this.#number += 1;
    const data = frame.encodeFrame(record.encodeRecords([base]));
    const name = nameOf(this.#number, true);
    await this.#folder.writeWhole(name, [data]);
    await this.#file?.close();
    this.#file = await this.#folder.append(name);
    this.#bytes = data.length;
    await this.#removeBefore(this.#number);
  }

  /** Closes the file. */
  async close(): Promise<void> {
    await this.#file?.close();
    this.#file = null;
  }

  async #continueInNewFile(): Promise<void> {
    await this.#file?.close();
    this.#number += 1;
    this.#file = await this.#folder.append(nameOf(this.#number, false));
    await this.#folder.sync();
    this.#bytes = 0;
  }

  async #list(): Promise<Segment[]> {
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

  #checkNumbers(chain: Segment[]): void {
    const first = chain[0] as Segment;
    chain.forEach(({ name, number }, position) => {
      const isExpected = number === first.number + position;
      if (!first.isBase || !isExpected) {
        const file = this.#folder.pathOf(name);
        throw new DamageError(file, 0, "the file before it is missing");
      }
    });
  }

  async #replay(segment: Segment, isLast: boolean): Promise<void> {
    const file = this.#folder.pathOf(segment.name);
    const data = await this.#folder.read(segment.name);
    if (data === null) {
      throw new DamageError(file, 0, "the file is missing");
    }
    let offset = 0;
    for (;;) {
      const read = frame.readFrame(data, offset);
      if (read.kind === "end") {
        break;
      }
      if (read.kind === "frame") {
        this.#applyFrame(file, offset, read.content);
        offset = read.end;
        continue;
      }
      const canBeTorn = isLast && !(segment.isBase && offset === 0);
      if (!canBeTorn || frame.hasLaterFrame(data, offset)) {
        const reason = read.kind === "damaged"
          ? read.reason
          : "the file ends too early";
        throw new DamageError(file, offset, reason);
      }
      await this.#folder.truncate(segment.name, offset);
      break;
    }
    this.#bytes = offset;
  }

  #applyFrame(file: string, offset: number, content: Buffer): void {
    try {
      record.decodeRecords(content).forEach((item) => this.state.apply(item));
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      throw new DamageError(file, offset, reason);
    }
  }

  async #removeBefore(number: number): Promise<void> {
    for (const segment of await this.#list()) {
      if (segment.number < number) {
        await this.#folder.remove(segment.name);
      }
    }
  }
}

function nameOf(number: number, isBase: boolean): string {
  const digits = String(number).padStart(NUMBER_DIGITS, "0");
  return `log-${digits}${isBase ? "-base" : ""}.wal`;
}
