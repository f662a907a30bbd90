/**
 * A file system with injected failures and simulated power loss.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import * as storage from "../../src/storage/mod.ts";

/** The operation that fails, and its error code. */
export type Fault =
  | { kind: "none" }
  | { kind: "write"; code: string }
  | { kind: "shortWrite" }
  | { kind: "sync"; code: string }
  | { kind: "create"; code: string }
  | { kind: "rename"; code: string }
  | { kind: "syncFolder"; code: string };

function failure(code: string): Error {
  return Object.assign(new Error(`${code}: injected`), { code });
}

/** The local file system with faults; tracks which bytes were synced. */
export class FaultyFileSystem extends storage.FileDisk {
  fault: Fault = { kind: "none" };
  syncs = 0;
  failedCreations = 0;
  #lengths = new Map<string, { written: number; synced: number }>();

  override async openForAppend(file: string): Promise<storage.WritableFile> {
    if (this.fault.kind === "create" && await super.read(file) === null) {
      this.failedCreations += 1;
      throw failure(this.fault.code);
    }
    const handle = await super.openForAppend(file);
    const content = await super.read(file);
    const size = content?.length ?? 0;
    const length = { written: size, synced: size };
    this.#lengths.set(file, length);
    return {
      write: async (data: Uint8Array) => {
        if (this.fault.kind === "write") {
          throw failure(this.fault.code);
        }
        const isShort = this.fault.kind === "shortWrite";
        const part = isShort ? data.subarray(0, data.length / 2) : data;
        const written = await handle.write(part);
        length.written += written;
        return written;
      },
      sync: async () => {
        if (this.fault.kind === "sync") {
          throw failure(this.fault.code);
        }
        this.syncs += 1;
        await handle.sync();
        length.synced = length.written;
      },
      close: () => handle.close(),
    };
  }

  override async rename(from: string, to: string): Promise<void> {
    if (this.fault.kind === "rename") {
      throw failure(this.fault.code);
    }
    await super.rename(from, to);
  }

  override async syncFolder(folder: string): Promise<void> {
    if (this.fault.kind === "syncFolder") {
      throw failure(this.fault.code);
    }
    await super.syncFolder(folder);
  }

  /** Discards the bytes that were written to a file and not synced. */
  async losePower(file: string): Promise<Buffer | null> {
    const length = this.#lengths.get(file);
    if (length !== undefined) {
      await super.truncate(file, length.synced);
    }
    return await super.read(file);
  }
}
