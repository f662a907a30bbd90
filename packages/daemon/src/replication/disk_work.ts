/**
 * What a replica asks of its disk.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { replication } from "@ebonypath/core";
import { createLog } from "../log/mod.ts";
import type * as storage from "../storage/mod.ts";
import type { Compaction } from "./compaction.ts";
import type { StateMachine } from "./types.ts";

type Effect<Kind> = Extract<replication.Effect, { kind: Kind }>;

/** What the work on the disk needs of the driver. */
export type DiskWorkOptions = {
  store: storage.Store;
  machine: StateMachine;
  compaction: Compaction;
  /** Gives the replica an input. */
  tell: (input: replication.Input) => void;
  /** The state machine was replaced by a snapshot up to an index. */
  onInstalled: (index: number) => void;
  onFailure: (error: unknown) => void;
};

const log = createLog("replication");

/** Carries out the effects on the disk; answers come in the order of asking. */
export class DiskWork {
  #options: DiskWorkOptions;
  #synced: Promise<unknown> = Promise.resolve();

  constructor(options: DiskWorkOptions) {
    this.#options = options;
  }

  /** Syncs term, vote and entries. */
  persist(effect: Effect<"persist">): void {
    this.#afterSync(effect.sequence, this.#options.store.persist(effect));
  }

  /** Saves a received snapshot and restores the state machine from it. */
  install(effect: Effect<"installSnapshot">): void {
    const { snapshot, parts, keepEntries, sequence } = effect;
    const data = Buffer.concat(
      parts.map((part) => Buffer.from(part, "base64")),
    );
    const { store, machine, compaction, onInstalled } = this.#options;
    const saved = store.saveSnapshot({ metadata: snapshot, data, keepEntries });
    const restored = Promise.all([this.#synced, saved]).then(() => {
      machine.restore(data);
      compaction.installed();
      onInstalled(snapshot.index);
      log("snapshot_installed", { index: snapshot.index });
    });
    this.#afterSync(sequence, restored);
  }

  /** Reads a part of the present snapshot for another replica. */
  async readPart(effect: Effect<"readSnapshotPart">): Promise<void> {
    const { to, index, offset, length } = effect;
    const { store, tell, onFailure } = this.#options;
    try {
      const part = await store.readSnapshotPart(index, offset, length);
      if (part !== null) {
        const data = part.toString("base64");
        tell({ kind: "snapshotPart", to, index, offset, data });
      }
    } catch (error) {
      onFailure(error);
    }
  }

  /** Takes a snapshot when the log has grown enough. */
  async compact(replica: replication.Replica): Promise<void> {
    const { compaction, tell, onFailure } = this.#options;
    if (!compaction.isDue(replica)) {
      return;
    }
    try {
      const snapshot = await compaction.save(replica);
      if (snapshot !== null) {
        tell({ kind: "snapshotTaken", snapshot });
      }
    } catch (error) {
      onFailure(error);
    }
  }

  /** Writes the first entries of a group, after everything asked for before. */
  async form(
    hardState: replication.HardState,
    entries: replication.Entry[],
  ): Promise<void> {
    await this.#synced;
    await this.#options.store.persist({ hardState, entries });
  }

  /** Resolves when everything asked for so far has ended. */
  async settle(): Promise<void> {
    await this.#synced.catch(() => undefined);
  }

  /** Tells the replica of syncs in their order. */
  #afterSync(sequence: number, sync: Promise<void>): void {
    const { tell, onFailure } = this.#options;
    this.#synced = Promise.all([this.#synced, sync]).then(
      () => tell({ kind: "persisted", sequence }),
      onFailure,
    );
  }
}
