import * as protocol from "@ebonypath/protocol";

/** Step of the store at which an error arose. */
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

/** A file operation failed. The store refuses everything from then on. */
export class StorageError extends protocol.errors.StepError {
  override readonly name: string = "StorageError";
  /** The file or folder that was worked on. */
  readonly file: string;

  constructor(
    step: StorageOperation,
    file: string,
    message: string,
    cause?: unknown,
  ) {
    super(`storage ${step}`, file, message, cause);
    this.file = file;
  }
}

/** Another process works on the folder. Nothing in it was touched. */
export class FolderInUse extends StorageError {
  override readonly name = "FolderInUse";

  /** @param holder id of the process, where it is known */
  constructor(folder: string, holder: number | null) {
    const who = holder === null ? "another process" : `process ${holder}`;
    super("lock", folder, `it is in use by ${who}; a folder is for one daemon`);
  }
}

/** A file holds something that was never written there. */
export class DamageError extends StorageError {
  override readonly name = "DamageError";
  /** Byte in the file at which the damage begins. */
  readonly offset: number;

  constructor(file: string, offset: number, message: string) {
    super("read", file, `damaged at byte ${offset}: ${message}`);
    this.offset = offset;
  }
}
