/**
 * File operations in the folder of a store, with typed errors.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import * as path from "node:path";
import { StorageError, type StorageOperation } from "./errors.ts";
import type { FileSystem, WritableFile } from "./types.ts";

const TEMPORARY_SUFFIX = ".tmp";

/** One folder on a disk. */
export class Folder {
  readonly path: string;
  #disk: FileSystem;

  constructor(folder: string, disk: FileSystem) {
    this.path = folder;
    this.#disk = disk;
  }

  /** Path of a file in this folder. */
  pathOf(name: string): string {
    return path.join(this.path, name);
  }

  /** Makes the folder and removes files whose writing was cut short. */
  async prepare(): Promise<void> {
    await attempt("open", this.path, () => this.#disk.createFolder(this.path));
    for (const name of await this.list()) {
      if (name.endsWith(TEMPORARY_SUFFIX)) {
        await this.remove(name);
      }
    }
  }

  /** Names of the files. */
  async list(): Promise<string[]> {
    return await attempt(
      "read",
      this.path,
      () => this.#disk.listFolder(this.path),
    );
  }

  /** Whole content of a file; null when there is none. */
  async read(name: string): Promise<Buffer | null> {
    const file = this.pathOf(name);
    return await attempt("read", file, () => this.#disk.read(file));
  }

  /** A part of a file. */
  async readPart(
    name: string,
    offset: number,
    length: number,
  ): Promise<Buffer> {
    const file = this.pathOf(name);
    return await attempt(
      "read",
      file,
      () => this.#disk.readRange(file, offset, length),
    );
  }

  /** Writes a whole file under a temporary name, syncs it and renames it. */
  async writeWhole(name: string, parts: Uint8Array[]): Promise<void> {
    const file = this.pathOf(name);
    const temporary = file + TEMPORARY_SUFFIX;
    const open = await this.append(name + TEMPORARY_SUFFIX);
    try {
      for (const part of parts) {
        await open.write(part);
      }
      await open.sync();
    } finally {
      await open.close();
    }
    await attempt("rename", file, () => this.#disk.rename(temporary, file));
    await this.sync();
  }

  /** Opens a file for appending. */
  async append(name: string): Promise<AppendFile> {
    const file = this.pathOf(name);
    const open = await attempt(
      "open",
      file,
      () => this.#disk.openForAppend(file),
    );
    return new AppendFile(file, open);
  }

  /** Cuts a file to a length. */
  async truncate(name: string, length: number): Promise<void> {
    const file = this.pathOf(name);
    await attempt("truncate", file, () => this.#disk.truncate(file, length));
  }

  /** Removes a file. */
  async remove(name: string): Promise<void> {
    const file = this.pathOf(name);
    await attempt("remove", file, () => this.#disk.remove(file));
  }

  /** Syncs the names of the files. */
  async sync(): Promise<void> {
    await attempt("sync", this.path, () => this.#disk.syncFolder(this.path));
  }
}

/** A file that is only appended to. */
export class AppendFile {
  readonly path: string;
  #open: WritableFile;

  constructor(file: string, open: WritableFile) {
    this.path = file;
    this.#open = open;
  }

  /** Writes all of the data, or fails. */
  async write(data: Uint8Array): Promise<void> {
    const written = await attempt(
      "write",
      this.path,
      () => this.#open.write(data),
    );
    if (written !== data.length) {
      const message = `wrote ${written} of ${data.length} bytes`;
      throw new StorageError("write", this.path, message);
    }
  }

  /** Syncs what was written. */
  async sync(): Promise<void> {
    await attempt("sync", this.path, () => this.#open.sync());
  }

  /** Closes the file. */
  async close(): Promise<void> {
    await attempt("open", this.path, () => this.#open.close());
  }
}

async function attempt<T>(
  step: StorageOperation,
  file: string,
  operation: () => Promise<T>,
): Promise<T> {
  try {
    return await operation();
  } catch (cause) {
    const message = cause instanceof Error ? cause.message : String(cause);
    throw new StorageError(step, file, message, cause);
  }
}
