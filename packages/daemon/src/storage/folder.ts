/**
 * File operations in the folder of a store. Failures are wrapped in
 * {@link StorageError}.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import * as path from "node:path";
import { NoSpaceError, StorageError, type StorageOperation } from "./errors.ts";
import type { FileSystem, WritableFile } from "./types.ts";

const TEMPORARY_SUFFIX = ".tmp";
/** Codes of errors that say that the disk is full or a quota is used up. */
const NO_SPACE_CODES: readonly unknown[] = ["ENOSPC", "EDQUOT"];

/** The folder that holds the files of one store. */
export class StoreFolder {
  readonly path: string;
  #fileSystem: FileSystem;

  constructor(folder: string, fileSystem: FileSystem) {
    this.path = folder;
    this.#fileSystem = fileSystem;
  }

  /** Path of a file in this folder. */
  pathOf(name: string): string {
    return path.join(this.path, name);
  }

  /**
   * Creates the folder if necessary, and removes the temporary files that an
   * interrupted write left behind.
   */
  async prepare(): Promise<void> {
    await withStorageError(
      "open",
      this.path,
      () => this.#fileSystem.createFolder(this.path),
    );
    for (const name of await this.list()) {
      if (name.endsWith(TEMPORARY_SUFFIX)) {
        await this.remove(name);
      }
    }
  }

  /** Lists the names of the files. */
  async list(): Promise<string[]> {
    return await withStorageError(
      "read",
      this.path,
      () => this.#fileSystem.listFolder(this.path),
    );
  }

  /** Reads a whole file; null when it does not exist. */
  async read(name: string): Promise<Buffer | null> {
    const file = this.pathOf(name);
    return await withStorageError(
      "read",
      file,
      () => this.#fileSystem.read(file),
    );
  }

  /** Reads at most `length` bytes of a file, from `offset` on. */
  async readPart(
    name: string,
    offset: number,
    length: number,
  ): Promise<Buffer> {
    const file = this.pathOf(name);
    return await withStorageError(
      "read",
      file,
      () => this.#fileSystem.readRange(file, offset, length),
    );
  }

  /**
   * Writes a file atomically: writes and syncs a temporary file, renames it and
   * syncs the folder. It may be repeated after a failure.
   */
  async writeAtomically(name: string, parts: Uint8Array[]): Promise<void> {
    const file = this.pathOf(name);
    const temporaryName = name + TEMPORARY_SUFFIX;
    try {
      await this.#writeNew(temporaryName, parts);
      await withStorageError(
        "rename",
        file,
        () => this.#fileSystem.rename(this.pathOf(temporaryName), file),
      );
    } catch (error) {
      // The first error says more; the next write removes the file, too.
      await this.remove(temporaryName).catch(() => undefined);
      throw error;
    }
    await this.sync();
  }

  /** Writes and syncs a file, and replaces what a failed write has left. */
  async #writeNew(name: string, parts: Uint8Array[]): Promise<void> {
    await this.remove(name);
    const file = await this.append(name);
    try {
      for (const part of parts) {
        await file.write(part);
      }
      await file.sync();
    } finally {
      await file.close();
    }
  }

  /** Opens a file for appending; creates it when it does not exist. */
  async append(name: string): Promise<AppendFile> {
    const file = this.pathOf(name);
    const handle = await withStorageError(
      "open",
      file,
      () => this.#fileSystem.openForAppend(file),
    );
    return new AppendFile(file, handle);
  }

  /** Truncates a file to a length. */
  async truncate(name: string, length: number): Promise<void> {
    const file = this.pathOf(name);
    await withStorageError(
      "truncate",
      file,
      () => this.#fileSystem.truncate(file, length),
    );
  }

  async remove(name: string): Promise<void> {
    const file = this.pathOf(name);
    await withStorageError("remove", file, () => this.#fileSystem.remove(file));
  }

  /** Syncs the folder, so that created and renamed files survive a crash. */
  async sync(): Promise<void> {
    await withStorageError(
      "sync",
      this.path,
      () => this.#fileSystem.syncFolder(this.path),
    );
  }
}

/** An append-only file in a {@link StoreFolder}. */
export class AppendFile {
  readonly path: string;
  #file: WritableFile;

  constructor(path: string, file: WritableFile) {
    this.path = path;
    this.#file = file;
  }

  /**
   * Writes all of the data. A short write is continued: on a disk that becomes
   * full, the next one tells so.
   *
   * @throws {StorageError} the write failed, or stopped without an error
   */
  async write(data: Uint8Array): Promise<void> {
    let offset = 0;
    while (offset < data.length) {
      const rest = data.subarray(offset);
      const written = await withStorageError(
        "write",
        this.path,
        () => this.#file.write(rest),
      );
      if (written === 0) {
        const message = `short write: ${offset} of ${data.length} bytes`;
        throw new StorageError("write", this.path, message);
      }
      offset += written;
    }
  }

  /** Syncs the written data. */
  async sync(): Promise<void> {
    await withStorageError("sync", this.path, () => this.#file.sync());
  }

  async close(): Promise<void> {
    await withStorageError("open", this.path, () => this.#file.close());
  }
}

async function withStorageError<T>(
  operation: StorageOperation,
  file: string,
  run: () => Promise<T>,
): Promise<T> {
  try {
    return await run();
  } catch (cause) {
    const message = cause instanceof Error ? cause.message : String(cause);
    const { code } = cause as NodeJS.ErrnoException;
    const ErrorType = NO_SPACE_CODES.includes(code)
      ? NoSpaceError
      : StorageError;
    throw new ErrorType(operation, file, message, cause);
  }
}
