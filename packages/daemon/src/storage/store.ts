/**
 * The durable store of one replica on files.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import { DamageError, StorageError } from "./errors.ts";
import { LocalFileSystem } from "./file_disk.ts";
import { Folder } from "./folder.ts";
import * as identities from "./identity.ts";
import type { ChangeRecord } from "./record.ts";
import { Segments } from "./segments.ts";
import { Snapshots } from "./snapshots.ts";
import type {
  Identity,
  LogUpdate,
  RecoveredSnapshot,
  RecoveredState,
  SnapshotToSave,
  Store,
  StoreOptions,
} from "./types.ts";

/** Bytes after which the log continues in a new file. */
const SEGMENT_BYTES = 16 * 1024 * 1024;

type Settled = { resolve: () => void; reject: (error: unknown) => void };
type Task =
  & Settled
  & (
    | { kind: "change"; change: ChangeRecord }
    | { kind: "snapshot"; snapshot: SnapshotToSave; isWritten: boolean }
  );
type ChangeTask = Extract<Task, { kind: "change" }>;

/**
 * Opens the store in a folder, or makes a new one with a new identity.
 *
 * @throws {DamageError} when a file holds something that was never written.
 * @throws {StorageError} when a file operation fails.
 * @example
 * ```ts
 * await using store = await openStore("/var/lib/ebonypath", { name: "c1" });
 * await store.persist({ hardState: { term: 1, vote: null } });
 * ```
 */
export async function openStore(
  folderPath: string,
  options: StoreOptions,
): Promise<Store> {
  const folder = new Folder(
    folderPath,
    options.fileSystem ?? new LocalFileSystem(),
  );
  await folder.prepare();
  const segments = new Segments(folder, options.segmentBytes ?? SEGMENT_BYTES);
  try {
    return await recoverStore(folder, segments, options);
  } catch (error) {
    await segments.close();
    throw error;
  }
}

async function recoverStore(
  folder: Folder,
  segments: Segments,
  options: StoreOptions,
): Promise<Store> {
  const snapshots = new Snapshots(folder);
  const hasLog = await segments.recover();
  const snapshot = await snapshots.recover();
  await alignLog(folder, segments, hasLog, snapshot);
  const identity = await recoverIdentity(folder, options, hasLog, segments);
  const { hardState, entries } = segments.state;
  const empty = snapshot === null && entries.length === 0 &&
    hardState.term === 0;
  const recovered: RecoveredState = {
    identity,
    empty,
    hardState,
    snapshot,
    entries: [...entries],
  };
  const groupCommit = options.groupCommit ?? true;
  return new FileStore(folder, segments, snapshots, recovered, groupCommit);
}

/** A crash may have come between a snapshot and the new log after it. */
async function alignLog(
  folder: Folder,
  segments: Segments,
  hasLog: boolean,
  snapshot: RecoveredSnapshot | null,
): Promise<void> {
  const index = snapshot?.metadata.index ?? 0;
  const { baseIndex } = segments.state;
  if (index < baseIndex) {
    const message = `the snapshot at ${baseIndex} is missing`;
    throw new DamageError(folder.path, 0, message);
  }
  if (index > baseIndex || !hasLog) {
    const isSameLog = index === 0 ||
      segments.state.termAt(index) === snapshot?.metadata.term;
    await segments.rebase(index, isSameLog);
  }
}

/** The identity is written last, so that it never stands without its log. */
async function recoverIdentity(
  folder: Folder,
  options: StoreOptions,
  hasLog: boolean,
  segments: Segments,
): Promise<Identity> {
  const identity = await identities.readIdentity(folder);
  if (identity !== null && !hasLog) {
    const message = "the log of this identity is missing; " +
      "empty the folder, start again and run `ebonypath members replace`";
    throw new DamageError(folder.path, 0, message);
  }
  const { hardState, lastIndex } = segments.state;
  if (identity === null && (hardState.term > 0 || lastIndex > 0)) {
    const message = "the identity of this log is missing";
    throw new DamageError(folder.path, 0, message);
  }
  return identity ?? await identities.writeIdentity(folder, options.name);
}

class FileStore implements Store {
  readonly recovered: RecoveredState;
  #folder: Folder;
  #segments: Segments;
  #snapshots: Snapshots;
  #groupCommit: boolean;
  #tasks: Task[] = [];
  /** Snapshots on their way to the disk. */
  #saving = new Set<Promise<void>>();
  #running: Promise<void> | null = null;
  #failure: StorageError | null = null;

  constructor(
    folder: Folder,
    segments: Segments,
    snapshots: Snapshots,
    recovered: RecoveredState,
    groupCommit: boolean,
  ) {
    this.#folder = folder;
    this.#segments = segments;
    this.#snapshots = snapshots;
    this.recovered = recovered;
    this.#groupCommit = groupCommit;
  }

  persist(change: LogUpdate): Promise<void> {
    return this.#enqueue({
      kind: "change",
      change: {
        kind: "change",
        hardState: change.hardState ?? null,
        truncateFrom: change.truncateFrom ?? null,
        entries: change.entries ?? [],
      },
    });
  }

  /** A snapshot of the present log is written while changes go on. */
  async saveSnapshot(snapshot: SnapshotToSave): Promise<void> {
    const saved = this.#save(snapshot);
    this.#saving.add(saved);
    try {
      await saved;
    } finally {
      this.#saving.delete(saved);
    }
  }

  /** Writes beside the queue, so that changes need not wait for it. */
  async #save(snapshot: SnapshotToSave): Promise<void> {
    const isWritten = snapshot.keepEntries;
    if (isWritten && this.#failure === null) {
      await this.#guard(() =>
        this.#snapshots.write(snapshot.metadata, snapshot.data)
      );
    }
    await this.#enqueue({ kind: "snapshot", snapshot, isWritten });
  }

  async readSnapshotPart(
    index: number,
    offset: number,
    length: number,
  ): Promise<Buffer | null> {
    if (this.#failure !== null) {
      throw this.#failure;
    }
    return await this.#guard(() => this.#snapshots.read(index, offset, length));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.allSettled([...this.#saving]);
    await this.#running;
    const closed = new StorageError("closed", this.#folder.path, "closed");
    this.#failure ??= closed;
    await this.#segments.close();
  }

  #enqueue(
    task:
      | Omit<ChangeTask, keyof Settled>
      | Omit<Extract<Task, { kind: "snapshot" }>, keyof Settled>,
  ): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#tasks.push({ ...task, resolve, reject });
      this.#running ??= this.#run();
    });
  }

  async #run(): Promise<void> {
    await Promise.resolve(); // The changes of this turn share a sync.
    while (this.#tasks.length > 0) {
      const batch = this.#takeBatch();
      try {
        if (this.#failure !== null) {
          throw this.#failure;
        }
        await this.#guard(() => this.#carryOut(batch));
        batch.forEach(({ resolve }) => resolve());
      } catch (error) {
        batch.forEach(({ reject }) => reject(error));
      }
    }
    this.#running = null;
  }

  /** The changes that wait in front, or one snapshot. */
  #takeBatch(): Task[] {
    const limit = this.#groupCommit ? this.#tasks.length : 1;
    const next = this.#tasks.findIndex(({ kind }) => kind === "snapshot");
    const count = next === -1 ? limit : Math.min(limit, Math.max(next, 1));
    return this.#tasks.splice(0, count);
  }

  async #carryOut(batch: Task[]): Promise<void> {
    const changes: ChangeRecord[] = [];
    for (const task of batch) {
      if (task.kind === "change") {
        changes.push(task.change);
      } else {
        await this.#useSnapshot(task.snapshot, task.isWritten);
      }
    }
    if (changes.length > 0) {
      await this.#segments.append(changes);
    }
  }

  async #useSnapshot(
    { metadata, data, keepEntries }: SnapshotToSave,
    isWritten: boolean,
  ): Promise<void> {
    if (metadata.index <= this.#snapshots.index) {
      return;
    }
    if (!isWritten) {
      await this.#snapshots.write(metadata, data);
    }
    await this.#segments.rebase(metadata.index, keepEntries);
    await this.#snapshots.use(metadata, data);
  }

  /** The first failure is final: what the disk holds is no longer known. */
  async #guard<T>(operation: () => Promise<T>): Promise<T> {
    try {
      return await operation();
    } catch (error) {
      this.#failure ??= error instanceof StorageError
        ? error
        : new StorageError("write", this.#folder.path, String(error), error);
      throw this.#failure;
    }
  }
}
