/**
 * File operations of a store on the local file system.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import * as fs from "node:fs/promises";
import * as path from "node:path";
import type { FileSystem, WritableFile } from "./types.ts";

/** An open file of the local file system. */
class LocalFile implements WritableFile {
  #handle: fs.FileHandle;

  constructor(handle: fs.FileHandle) {
    this.#handle = handle;
  }

  async write(data: Uint8Array): Promise<number> {
    const { bytesWritten } = await this.#handle.write(data);
    return bytesWritten;
  }

  async sync(): Promise<void> {
    await this.#handle.datasync();
  }

  async close(): Promise<void> {
    await this.#handle.close();
  }
}

/**
 * The local file system.
 *
 * @example
 * ```ts
 * const store = await openStore("/var/lib/ebonypath", {
 *   name: "c1",
 *   fileSystem: new LocalFileSystem(),
 * });
 * ```
 */
export class LocalFileSystem implements FileSystem {
  async createFolder(folder: string): Promise<void> {
    const firstCreated = await fs.mkdir(folder, { recursive: true });
    if (firstCreated !== undefined) {
      await this.syncFolder(path.dirname(firstCreated));
    }
  }

  async listFolder(folder: string): Promise<string[]> {
    return await fs.readdir(folder);
  }

  async read(file: string): Promise<Buffer | null> {
    try {
      return await fs.readFile(file);
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code === "ENOENT") {
        return null;
      }
      throw error;
    }
  }

  async readRange(
    file: string,
    offset: number,
    length: number,
  ): Promise<Buffer> {
    await using handle = await fs.open(file, "r");
    const buffer = Buffer.alloc(length);
    const { bytesRead } = await handle.read(buffer, 0, length, offset);
    return buffer.subarray(0, bytesRead);
  }

  async openForAppend(file: string): Promise<WritableFile> {
    return new LocalFile(await fs.open(file, "a"));
  }

  async truncate(file: string, length: number): Promise<void> {
    await using handle = await fs.open(file, "r+");
    await handle.truncate(length);
    await handle.sync();
  }

  async rename(from: string, to: string): Promise<void> {
    await fs.rename(from, to);
  }

  async remove(file: string): Promise<void> {
    await fs.rm(file, { force: true });
  }

  async syncFolder(folder: string): Promise<void> {
    await using handle = await fs.open(folder, "r");
    await handle.sync();
  }
}
