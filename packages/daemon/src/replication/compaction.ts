/**
 * Takes a snapshot when the log has grown enough.
 *
 * @module
 */

import type { replication } from "@ebonypath/core";
import { createLog } from "../log/mod.ts";
import type * as storage from "../storage/mod.ts";
import type { StateMachine } from "./types.ts";

/** Applied entries after which a snapshot is taken. */
const SNAPSHOT_ENTRIES = 10_000;
/** Bytes of applied commands after which a snapshot is taken. */
const SNAPSHOT_BYTES = 16 * 1024 * 1024;
/** How much longer the log may grow while a snapshot is being sent. */
const SENDING_FACTOR = 2;

const log = createLog("replication");

/** Decides when to take a snapshot, and saves it. */
export class Compaction {
  #store: storage.Store;
  #machine: StateMachine;
  #entries: number;
  #appliedBytes = 0;
  #isSaving = false;

  constructor(
    store: storage.Store,
    machine: StateMachine,
    entries: number | undefined,
  ) {
    this.#store = store;
    this.#machine = machine;
    this.#entries = entries ?? SNAPSHOT_ENTRIES;
  }

  /** Counts applied entries. */
  applied(entries: replication.Entry[]): void {
    for (const { payload } of entries) {
      if (payload.kind === "command") {
        this.#appliedBytes += payload.data.length;
      }
    }
  }

  /** Starts to count anew after a snapshot was installed. */
  installed(): void {
    this.#appliedBytes = 0;
  }

  /** Whether a snapshot has to be taken now. */
  isDue(replica: replication.Replica): boolean {
    const { appliedIndex, snapshot, isSendingSnapshot } = replica;
    const entries = appliedIndex - (snapshot?.index ?? 0);
    const growth = Math.max(
      entries / this.#entries,
      this.#appliedBytes / SNAPSHOT_BYTES,
    );
    return !this.#isSaving &&
      growth >= (isSendingSnapshot ? SENDING_FACTOR : 1);
  }

  /** Saves the present state; null when its place in the log is not known. */
  async save(
    replica: replication.Replica,
  ): Promise<replication.SnapshotMetadata | null> {
    const index = replica.appliedIndex;
    const term = replica.termAt(index);
    if (term === null) {
      return null;
    }
    this.#isSaving = true;
    this.#appliedBytes = 0;
    try {
      const data = this.#machine.takeSnapshot();
      const membership = replica.membershipAt(index);
      const metadata = { index, term, membership, bytes: data.length };
      await this.#store.saveSnapshot({ metadata, data, keepEntries: true });
      log("snapshot_saved", { index, bytes: data.length });
      return metadata;
    } finally {
      this.#isSaving = false;
    }
  }
}
