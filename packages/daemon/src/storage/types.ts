/**
 * Types of the durable store of one replica.
 *
 * @module
 */

import type { replication } from "@ebonypath/core";
import type { Buffer } from "node:buffer";
import type { SpaceListener } from "./space_waiter.ts";

/** The identity of a replica. Its id has a random suffix and is never reused. */
export type Identity = { id: string };

/** A snapshot read when the store was opened. */
export type RecoveredSnapshot = {
  metadata: replication.SnapshotMetadata;
  data: Buffer;
};

/** The durable state that was read when the store was opened. */
export type RecoveredState = {
  identity: Identity;
  /** Whether no term, entry or snapshot has ever been written. */
  empty: boolean;
  hardState: replication.HardState;
  snapshot: RecoveredSnapshot | null;
  /** The entries that follow the snapshot, without gaps. */
  entries: replication.Entry[];
};

/** An update of the hard state (term and vote) and of the log entries. */
export type LogUpdate = {
  hardState?: replication.HardState | null;
  /** Removes the entries from this index on before appending. */
  truncateFrom?: number | null;
  entries?: replication.Entry[];
};

/** A snapshot to save. */
export type SnapshotToSave = {
  metadata: replication.SnapshotMetadata;
  data: Uint8Array;
  /** Keeps the entries that follow the snapshot; false removes all entries. */
  keepEntries: boolean;
};

/** The durable state of one replica, in one folder. */
export interface Store extends AsyncDisposable {
  /** The durable state that was read when the store was opened. */
  readonly recovered: RecoveredState;
  /** Whether no update waits for space on the disk. */
  readonly hasSpace: boolean;
  /**
   * Calls a listener when the disk becomes full or has space again.
   *
   * @returns removes the listener
   */
  onSpaceChange(listener: SpaceListener): () => void;
  /**
   * Writes and syncs an update. Updates that wait together share one sync. While
   * the disk is full, updates wait in their order.
   */
  persist(update: LogUpdate): Promise<void>;
  /**
   * Saves a snapshot and removes the log entries that it includes.
   *
   * @throws {NoSpaceError} the disk is too full for a snapshot that keeps
   * entries; nothing has changed
   */
  saveSnapshot(snapshot: SnapshotToSave): Promise<void>;
  /**
   * Reads a part of the current snapshot; null when the current snapshot is not
   * the one at `index`.
   */
  readSnapshotPart(
    index: number,
    offset: number,
    length: number,
  ): Promise<Buffer | null>;
}

/** Options of `openStore`. */
export type StoreOptions = {
  /** Name of the host, used as the prefix of the random member id. */
  name: string;
  /** Size in bytes from which on the log continues in a new segment. */
  segmentBytes?: number;
  /** Syncs all waiting updates together; false syncs each update alone. */
  groupCommit?: boolean;
  /** The file operations; the local file system by default. */
  fileSystem?: FileSystem;
};

/** A file of a {@link FileSystem} that is open for appending. */
export interface WritableFile {
  /** Appends data; returns the number of bytes written. */
  write(data: Uint8Array): Promise<number>;
  /** Syncs the written data. */
  sync(): Promise<void>;
  close(): Promise<void>;
}

/** The file operations that a store needs. Tests inject faults here. */
export interface FileSystem {
  /** Creates a folder and its parents. */
  createFolder(path: string): Promise<void>;
  /** Lists the names in a folder. */
  listFolder(folder: string): Promise<string[]>;
  /** Reads a whole file; null when it does not exist. */
  read(path: string): Promise<Buffer | null>;
  /** Reads at most `length` bytes of a file, from `offset` on. */
  readRange(path: string, offset: number, length: number): Promise<Buffer>;
  /** Opens a file for appending; creates it when it does not exist. */
  openForAppend(path: string): Promise<WritableFile>;
  /** Truncates a file to a length and syncs it. */
  truncate(path: string, length: number): Promise<void>;
  rename(from: string, to: string): Promise<void>;
  /** Removes a file; succeeds when it does not exist. */
  remove(path: string): Promise<void>;
  /** Syncs a folder, so that created and renamed files survive a crash. */
  syncFolder(path: string): Promise<void>;
}
