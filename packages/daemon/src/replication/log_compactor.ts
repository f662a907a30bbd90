/**
 * Compacts the log by saving snapshots of the state machine.
 *
 * @module
 */

import type { replication } from "@ebonypath/core";
import { createLog } from "../log/mod.ts";
import * as storage from "../storage/mod.ts";
import type { StateMachine } from "./types.ts";

/** Number of entries applied since the last snapshot at which one is due. */
const DEFAULT_ENTRY_LIMIT = 10_000;
/** Size of the commands applied since the last snapshot at which one is due. */
const COMMAND_BYTES_LIMIT = 16 * 1024 * 1024;
/** Factor by which both limits are raised while a snapshot is being sent. */
const SENDING_LIMIT_FACTOR = 2;

/** Pause before the next snapshot after one for which the disk was too full. */
const NO_SPACE_RETRY_MS = 1_000;

const log = createLog("replication");

/** Decides when to take a snapshot, and saves it. */
export class LogCompactor {
  #store: storage.Store;
  #stateMachine: StateMachine;
  #entryLimit: number;
  #appliedBytes = 0;
  #isSaving = false;
  #nextAttemptAt = -Infinity;

  constructor(
    store: storage.Store,
    stateMachine: StateMachine,
    entryLimit: number | undefined,
  ) {
    this.#store = store;
    this.#stateMachine = stateMachine;
    this.#entryLimit = entryLimit ?? DEFAULT_ENTRY_LIMIT;
  }

  /** Counts the size of applied commands. */
  recordApplied(entries: replication.Entry[]): void {
    for (const { payload } of entries) {
      if (payload.kind === "command") {
        this.#appliedBytes += payload.data.length;
      }
    }
  }

  /** Resets the count after a snapshot was installed. */
  resetAppliedBytes(): void {
    this.#appliedBytes = 0;
  }

  /** Whether a snapshot has to be saved now. */
  isDue(replica: replication.Replica): boolean {
    const { appliedIndex, snapshot, isSendingSnapshot } = replica;
    const appliedEntries = appliedIndex - (snapshot?.index ?? 0);
    const usedLimit = Math.max(
      appliedEntries / this.#entryLimit,
      this.#appliedBytes / COMMAND_BYTES_LIMIT,
    );
    return !this.#isSaving && performance.now() >= this.#nextAttemptAt &&
      usedLimit >= (isSendingSnapshot ? SENDING_LIMIT_FACTOR : 1);
  }

  /**
   * Saves a snapshot of the state machine; null when the term of the last applied
   * entry is unknown.
   *
   * @throws {storage.NoSpaceError} the disk is too full; a snapshot is due again
   * after a pause
   */
  async save(
    replica: replication.Replica,
  ): Promise<replication.SnapshotMetadata | null> {
    const index = replica.appliedIndex;
    const term = replica.termAt(index);
    if (term === null) {
      return null;
    }
    this.#isSaving = true;
    const savedBytes = this.#appliedBytes;
    this.#appliedBytes = 0;
    try {
      const data = this.#stateMachine.takeSnapshot();
      const membership = replica.membershipAt(index);
      const metadata = { index, term, membership, bytes: data.length };
      await this.#store.saveSnapshot({ metadata, data, keepEntries: true });
      log("snapshot_saved", { index, bytes: data.length });
      return metadata;
    } catch (error) {
      if (error instanceof storage.NoSpaceError) {
        this.#appliedBytes += savedBytes;
        this.#nextAttemptAt = performance.now() + NO_SPACE_RETRY_MS;
      }
      throw error;
    } finally {
      this.#isSaving = false;
    }
  }
}
