/**
 * The durable store of one replica: a write-ahead log, snapshot files and an
 * identity file in one folder.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import { DamageError, NoSpaceError, StorageError } from "./errors.ts";
import { LocalFileSystem } from "./local_file_system.ts";
import { StoreFolder } from "./folder.ts";
import * as identities from "./identity.ts";
import type { ChangeRecord } from "./log_record.ts";
import { WriteAheadLog } from "./write_ahead_log.ts";
import { SnapshotFiles } from "./snapshot_files.ts";
import { type SpaceListener, SpaceWaiter } from "./space_waiter.ts";
import type {
  Identity,
  LogUpdate,
  RecoveredSnapshot,
  RecoveredState,
  SnapshotToSave,
  Store,
  StoreOptions,
} from "./types.ts";

/** Size in bytes from which on the log continues in a new segment. */
const DEFAULT_SEGMENT_BYTES = 16 * 1024 * 1024;

type Completion = { resolve: () => void; reject: (error: unknown) => void };
type QueuedTask =
  & Completion
  & (
    | { kind: "change"; change: ChangeRecord }
    | { kind: "snapshot"; snapshot: SnapshotToSave; isWritten: boolean }
  );
type ChangeTask = Extract<QueuedTask, { kind: "change" }>;

/**
 * Opens the store in a folder. An empty folder gets a new store with a new
 * identity. Waits while the disk is too full for what has to be written.
 *
 * @throws {DamageError} a file is missing or its content is invalid
 * @throws {StorageError} a file operation failed
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
  const folder = new StoreFolder(
    folderPath,
    options.fileSystem ?? new LocalFileSystem(),
  );
  const space = new SpaceWaiter(folderPath);
  await space.run(() => folder.prepare());
  const log = new WriteAheadLog(
    folder,
    space,
    options.segmentBytes ?? DEFAULT_SEGMENT_BYTES,
  );
  try {
    return await recoverStore(folder, space, log, options);
  } catch (error) {
    await log.close();
    throw error;
  }
}

async function recoverStore(
  folder: StoreFolder,
  space: SpaceWaiter,
  log: WriteAheadLog,
  options: StoreOptions,
): Promise<Store> {
  const snapshots = new SnapshotFiles(folder);
  const hasLog = await log.recover();
  const snapshot = await snapshots.recover();
  await reconcileLog(folder, log, hasLog, snapshot);
  const identity = await space.run(() =>
    recoverIdentity(folder, options, hasLog, log)
  );
  const { hardState, entries } = log.state;
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
  return new FileStore(folder, space, log, snapshots, recovered, groupCommit);
}

/**
 * Starts a new base segment when there is no log, or when the snapshot is newer
 * than the log: a crash may have occurred after the snapshot was written and
 * before the log was compacted.
 */
async function reconcileLog(
  folder: StoreFolder,
  log: WriteAheadLog,
  hasLog: boolean,
  snapshot: RecoveredSnapshot | null,
): Promise<void> {
  const snapshotIndex = snapshot?.metadata.index ?? 0;
  const { baseIndex } = log.state;
  if (snapshotIndex < baseIndex) {
    const message = `the snapshot at ${baseIndex} is missing`;
    throw new DamageError(folder.path, 0, message);
  }
  if (snapshotIndex > baseIndex || !hasLog) {
    const logMatchesSnapshot = snapshotIndex === 0 ||
      log.state.termAt(snapshotIndex) === snapshot?.metadata.term;
    await log.writeBase(snapshotIndex, logMatchesSnapshot);
  }
}

/**
 * Reads the identity, or writes a new one. It is written after the log, so that
 * an identity without a log means that the log was lost.
 */
async function recoverIdentity(
  folder: StoreFolder,
  options: StoreOptions,
  hasLog: boolean,
  log: WriteAheadLog,
): Promise<Identity> {
  const identity = await identities.readIdentity(folder);
  if (identity !== null && !hasLog) {
    const message = "the log of this identity is missing; " +
      "empty the folder, restart the host and run `ebonypath members replace`";
    throw new DamageError(folder.path, 0, message);
  }
  const { hardState, lastIndex } = log.state;
  if (identity === null && (hardState.term > 0 || lastIndex > 0)) {
    const message = "the identity of this log is missing";
    throw new DamageError(folder.path, 0, message);
  }
  return identity ?? await identities.writeIdentity(folder, options.name);
}

class FileStore implements Store {
  readonly recovered: RecoveredState;
  #folder: StoreFolder;
  #space: SpaceWaiter;
  #log: WriteAheadLog;
  #snapshots: SnapshotFiles;
  #groupCommit: boolean;
  #queue: QueuedTask[] = [];
  /** Calls of {@link FileStore.saveSnapshot} that have not settled. */
  #pendingSnapshots = new Set<Promise<void>>();
  #processing: Promise<void> | null = null;
  #failure: StorageError | null = null;

  constructor(
    folder: StoreFolder,
    space: SpaceWaiter,
    log: WriteAheadLog,
    snapshots: SnapshotFiles,
    recovered: RecoveredState,
    groupCommit: boolean,
  ) {
    this.#folder = folder;
    this.#space = space;
    this.#log = log;
    this.#snapshots = snapshots;
    this.recovered = recovered;
    this.#groupCommit = groupCommit;
  }

  get hasSpace(): boolean {
    return this.#space.hasSpace;
  }

  onSpaceChange(listener: SpaceListener): () => void {
    return this.#space.onChange(listener);
  }

  persist(update: LogUpdate): Promise<void> {
    return this.#enqueue({
      kind: "change",
      change: {
        kind: "change",
        hardState: update.hardState ?? null,
        truncateFrom: update.truncateFrom ?? null,
        entries: update.entries ?? [],
      },
    });
  }

  async saveSnapshot(snapshot: SnapshotToSave): Promise<void> {
    const saved = this.#writeSnapshot(snapshot);
    this.#pendingSnapshots.add(saved);
    try {
      await saved;
    } finally {
      this.#pendingSnapshots.delete(saved);
    }
  }

  /**
   * Writes a snapshot of the current log outside the queue, so that log updates
   * don't wait for the write. Only its activation is queued; when the disk is
   * too full for it, the log continues as before. A snapshot that replaces the
   * log is written in the queue.
   */
  async #writeSnapshot(snapshot: SnapshotToSave): Promise<void> {
    const isWritten = snapshot.keepEntries;
    if (isWritten && this.#failure === null) {
      await this.#recordFailure(() =>
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
    return await this.#recordFailure(() =>
      this.#snapshots.read(index, offset, length)
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#space.close();
    await Promise.allSettled([...this.#pendingSnapshots]);
    await this.#processing;
    const closed = new StorageError(
      "closed",
      this.#folder.path,
      "the store is closed",
    );
    this.#failure ??= closed;
    await this.#log.close();
  }

  #enqueue(
    task:
      | Omit<ChangeTask, keyof Completion>
      | Omit<Extract<QueuedTask, { kind: "snapshot" }>, keyof Completion>,
  ): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#queue.push({ ...task, resolve, reject });
      this.#processing ??= this.#processQueue();
    });
  }

  async #processQueue(): Promise<void> {
    await Promise.resolve(); // Lets updates of the same turn share one sync.
    while (this.#queue.length > 0) {
      const batch = this.#takeBatch();
      try {
        if (this.#failure !== null) {
          throw this.#failure;
        }
        await this.#recordFailure(() => this.#execute(batch));
        batch.forEach(({ resolve }) => resolve());
      } catch (error) {
        batch.forEach(({ reject }) => reject(error));
      }
    }
    this.#processing = null;
  }

  /** Takes the updates at the head of the queue, or one snapshot. */
  #takeBatch(): QueuedTask[] {
    const limit = this.#groupCommit ? this.#queue.length : 1;
    const firstSnapshot = this.#queue.findIndex(({ kind }) =>
      kind === "snapshot"
    );
    const count = firstSnapshot === -1
      ? limit
      : Math.min(limit, Math.max(firstSnapshot, 1));
    return this.#queue.splice(0, count);
  }

  async #execute(batch: QueuedTask[]): Promise<void> {
    const changes: ChangeRecord[] = [];
    for (const task of batch) {
      if (task.kind === "change") {
        changes.push(task.change);
      } else {
        await this.#applySnapshot(task.snapshot, task.isWritten);
      }
    }
    if (changes.length > 0) {
      await this.#log.append(changes);
    }
  }

  async #applySnapshot(
    { metadata, data, keepEntries }: SnapshotToSave,
    isWritten: boolean,
  ): Promise<void> {
    if (metadata.index <= this.#snapshots.index) {
      return;
    }
    if (!isWritten) {
      await this.#space.run(() => this.#snapshots.write(metadata, data));
    }
    await this.#log.writeBase(metadata.index, keepEntries);
    await this.#space.run(() => this.#snapshots.activate(metadata, data));
  }

  /**
   * Runs an operation and records its failure. The first failure is permanent:
   * after it, the content of the files is unknown. A full disk is no failure.
   */
  async #recordFailure<T>(operation: () => Promise<T>): Promise<T> {
    try {
      return await operation();
    } catch (error) {
      if (error instanceof NoSpaceError) throw error;
      this.#failure ??= error instanceof StorageError
        ? error
        : new StorageError("write", this.#folder.path, String(error), error);
      throw this.#failure;
    }
  }
}
