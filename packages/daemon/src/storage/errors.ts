import * as protocol from "@ebonypath/protocol";

/** Operation of the store during which an error occurred. */
export type StorageOperation =
  | "lock"
  | "open"
  | "read"
  | "write"
  | "sync"
  | "rename"
  | "remove"
  | "truncate"
  | "save snapshot"
  | "closed";

/**
 * A file operation failed. Unless the disk was full ({@link NoSpaceError}), the
 * store rejects every later operation with the same error.
 */
export class StorageError extends protocol.errors.StepError {
  override readonly name: string = "StorageError";
  /** Path of the file or folder on which the operation failed. */
  readonly file: string;

  constructor(
    operation: StorageOperation,
    file: string,
    message: string,
    cause?: unknown,
  ) {
    super(`storage ${operation}`, file, message, cause);
    this.file = file;
  }
}

/**
 * A file operation failed because the disk is full or a quota is used up. What
 * it wrote may be incomplete.
 */
export class NoSpaceError extends StorageError {
  override readonly name = "NoSpaceError";
}

/** Another process holds the lock of the folder. No file was changed. */
export class FolderInUse extends StorageError {
  override readonly name = "FolderInUse";

  /** @param holderPid process id of the lock holder; null when unknown */
  constructor(folder: string, holderPid: number | null) {
    const holder = holderPid === null
      ? "another process"
      : `process ${holderPid}`;
    super(
      "lock",
      folder,
      `it is in use by ${holder}; each daemon needs a data folder of its own`,
    );
  }
}

/** A file is missing, or its content fails validation. */
export class DamageError extends StorageError {
  override readonly name = "DamageError";
  /** Byte offset in the file at which validation failed. */
  readonly offset: number;

  constructor(file: string, offset: number, message: string) {
    super("read", file, `damaged at byte ${offset}: ${message}`);
    this.offset = offset;
  }
}
