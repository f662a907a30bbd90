/**
 * Types of the durable store of one replica.
 *
 * @module
 */

import type { replication } from "@ebonypath/core";
import type { Buffer } from "node:buffer";

/** Who this disk belongs to. The id has a random suffix and is never reused. */
export type Identity = { id: string };

/** A snapshot as found on the disk. */
export type RecoveredSnapshot = {
  metadata: replication.SnapshotMetadata;
  data: Buffer;
};

/** What the disk held when it was opened. */
export type RecoveredState = {
  identity: Identity;
  /** No term, entry or snapshot was ever written. */
  empty: boolean;
  hardState: replication.HardState;
  snapshot: RecoveredSnapshot | null;
  /** Entries that follow the snapshot, without gaps. */
  entries: replication.Entry[];
};

/** One change of the log and of term and vote. */
export type LogUpdate = {
  hardState?: replication.HardState | null;
  /** The entries from this index on are removed first. */
  truncateFrom?: number | null;
  entries?: replication.Entry[];
};

/** A snapshot to save. */
export type SnapshotToSave = {
  metadata: replication.SnapshotMetadata;
  data: Uint8Array;
  /** Keeps the entries that follow the snapshot; otherwise all are removed. */
  keepEntries: boolean;
};

/** The durable state of one replica, in one folder. */
export interface Store extends AsyncDisposable {
  /** What the disk held when it was opened. */
  readonly recovered: RecoveredState;
  /** Syncs a change. Changes that wait together share one sync. */
  persist(change: LogUpdate): Promise<void>;
  /** Saves a snapshot and removes the log entries that it covers. */
  saveSnapshot(snapshot: SnapshotToSave): Promise<void>;
  /** Reads a part of the present snapshot; null when it isn't `index`. */
  readSnapshotPart(
    index: number,
    offset: number,
    length: number,
  ): Promise<Buffer | null>;
}

/** Options of `openStore`. */
export type StoreOptions = {
  /** Name of the host; start of the random member id. */
  name: string;
  /** Bytes after which the log continues in a new segment. */
  segmentBytes?: number;
  /** One sync for all changes that wait; false syncs each change alone. */
  groupCommit?: boolean;
  /** The file operations; the real disk by default. */
  fileSystem?: FileSystem;
};

/** An open file of a {@link FileSystem}. */
export interface WritableFile {
  /** Writes at the end of the file; returns the number of bytes written. */
  write(data: Uint8Array): Promise<number>;
  /** Syncs what was written. */
  sync(): Promise<void>;
  /** Closes the file. */
  close(): Promise<void>;
}

/** The file operations that a store needs. Tests inject faults here. */
export interface FileSystem {
  /** Makes a folder and its parents. */
  createFolder(path: string): Promise<void>;
  /** Names in a folder. */
  listFolder(folder: string): Promise<string[]>;
  /** Whole content of a file; null when there is none. */
  read(path: string): Promise<Buffer | null>;
  /** A part of a file. */
  readRange(path: string, offset: number, length: number): Promise<Buffer>;
  /** Opens a file for appending and makes it when there is none. */
  openForAppend(path: string): Promise<WritableFile>;
  /** Cuts a file to a length and syncs it. */
  truncate(path: string, length: number): Promise<void>;
  /** Gives a file another name. */
  rename(from: string, to: string): Promise<void>;
  /** Removes a file. */
  remove(path: string): Promise<void>;
  /** Syncs the names of a folder. */
  syncFolder(path: string): Promise<void>;
}
