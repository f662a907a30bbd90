/**
 * A file system in memory that becomes full, and that can be copied as a crash
 * of the process or a loss of power would leave it.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import * as path from "node:path";
import type * as storage from "../../src/storage/mod.ts";

type Inode = {
  content: Buffer;
  /** What remains after a loss of power. */
  durable: Buffer;
  /** Bytes that a failed sync has dropped: no later sync stores them. */
  dropped: { from: number; to: number };
};

type Names = Map<string, Inode>;

/** How a host ends. */
export type CrashKind = "process" | "power";

function newInode(content: Buffer): Inode {
  return { content, durable: content, dropped: { from: 0, to: 0 } };
}

/** Files in one folder, in memory. */
export class MemoryDisk implements storage.FileSystem {
  /** Called before each operation that changes something. */
  onChange = () => {};
  /** Called before each sync of a file. */
  onSync = () => {};
  #random: () => number;
  #names: Names = new Map();
  /** The names after each change of them since the last sync of the folder. */
  #unsyncedNames: Names[] = [];
  #syncedNames: Names = new Map();
  /** Changes that still fail since the disk is full. */
  #failuresLeft = 0;

  /** @param random returns numbers in [0, 1) */
  constructor(random: () => number) {
    this.#random = random;
  }

  /** Names of the files. */
  get names(): string[] {
    return [...this.#names.keys()];
  }

  /** Lets the next changes find no space, until `failures` of them failed. */
  fill(failures: number): void {
    this.#failuresLeft = failures;
  }

  /** Returns a copy as it would be found after a crash now. */
  crash(kind: CrashKind): MemoryDisk {
    const copy = new MemoryDisk(this.#random);
    const names = kind === "process"
      ? this.#names
      : this.#namesAfterPowerLoss();
    for (const [name, { content, durable }] of names) {
      const kept = kind === "process"
        ? content
        : this.#tornEnd(content, durable);
      const inode = newInode(Buffer.from(kept));
      // The system still holds what a killed process wrote and did not sync.
      if (kind === "process") inode.durable = durable;
      copy.#names.set(name, inode);
    }
    copy.#syncedNames = new Map(copy.#names);
    return copy;
  }

  createFolder(): Promise<void> {
    return Promise.resolve();
  }

  listFolder(): Promise<string[]> {
    return Promise.resolve(this.names);
  }

  read(file: string): Promise<Buffer | null> {
    const inode = this.#names.get(path.basename(file));
    return Promise.resolve(inode === undefined ? null : inode.content);
  }

  readRange(file: string, offset: number, length: number): Promise<Buffer> {
    const { content } = this.#existing(file);
    return Promise.resolve(content.subarray(offset, offset + length));
  }

  async openForAppend(file: string): Promise<storage.WritableFile> {
    const name = path.basename(file);
    let inode = this.#names.get(name);
    if (inode === undefined) {
      await this.#change();
      inode = newInode(Buffer.alloc(0));
      this.#names.set(name, inode);
      this.#recordNames();
    }
    return this.#open(inode);
  }

  async truncate(file: string, length: number): Promise<void> {
    await this.#change();
    const inode = this.#existing(file);
    inode.content = inode.content.subarray(0, length);
    const { from, to } = inode.dropped;
    inode.dropped = { from: Math.min(from, length), to: Math.min(to, length) };
    this.#sync(inode);
  }

  async rename(from: string, to: string): Promise<void> {
    await this.#change();
    const inode = this.#existing(from);
    this.#names.delete(path.basename(from));
    this.#names.set(path.basename(to), inode);
    this.#recordNames();
  }

  remove(file: string): Promise<void> {
    this.onChange();
    this.#names.delete(path.basename(file));
    this.#recordNames();
    return Promise.resolve();
  }

  async syncFolder(): Promise<void> {
    await this.#change();
    this.#syncedNames = new Map(this.#names);
    this.#unsyncedNames = [];
  }

  #open(inode: Inode): storage.WritableFile {
    return {
      write: async (data) => {
        const part = data.subarray(0, Math.ceil(this.#random() * data.length));
        const written = this.#failuresLeft > 0 ? part : data;
        if (this.#failuresLeft > 0 && this.#random() < 0.5) {
          await this.#change();
        }
        inode.content = Buffer.concat([inode.content, written]);
        this.onChange();
        return written.length;
      },
      sync: async () => {
        this.onSync();
        try {
          await this.#change();
        } catch (error) {
          const from = inode.durable.length;
          inode.dropped = { from, to: inode.content.length };
          throw error;
        }
        this.#sync(inode);
      },
      close: () => Promise.resolve(),
    };
  }

  /** Counts a change, and fails it when the disk is full. */
  #change(): Promise<void> {
    this.onChange();
    if (this.#failuresLeft === 0) return Promise.resolve();
    this.#failuresLeft -= 1;
    const error = new Error("ENOSPC: injected");
    return Promise.reject(Object.assign(error, { code: "ENOSPC" }));
  }

  #sync(inode: Inode): void {
    const durable = Buffer.from(inode.content);
    durable.fill(0, inode.dropped.from, inode.dropped.to);
    inode.durable = durable;
  }

  #recordNames(): void {
    this.#unsyncedNames.push(new Map(this.#names));
  }

  #namesAfterPowerLoss(): Names {
    const states = [this.#syncedNames, ...this.#unsyncedNames];
    return states[Math.floor(this.#random() * states.length)] as Names;
  }

  /** The durable bytes, and a part of those that were not synced. */
  #tornEnd(content: Buffer, durable: Buffer): Buffer {
    const unsynced = content.subarray(durable.length);
    const length = Math.floor(this.#random() * (unsynced.length + 1));
    return Buffer.concat([durable, unsynced.subarray(0, length)]);
  }

  #existing(file: string): Inode {
    const inode = this.#names.get(path.basename(file));
    if (inode === undefined) throw new Error(`${file} does not exist`);
    return inode;
  }
}
