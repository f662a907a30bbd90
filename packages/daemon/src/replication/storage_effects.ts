/**
 * Executes the storage effects of a replica.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { replication } from "@ebonypath/core";
import { createLog } from "../log/mod.ts";
import * as storage from "../storage/mod.ts";
import type { LogCompactor } from "./log_compactor.ts";
import type { StateMachine } from "./types.ts";

type Effect<Kind> = Extract<replication.Effect, { kind: Kind }>;

/** Options of {@link StorageEffects}. */
export type StorageEffectsOptions = {
  store: storage.Store;
  stateMachine: StateMachine;
  compactor: LogCompactor;
  /** Passes an input to the replica. */
  submitInput: (input: replication.Input) => void;
  /** Called after a snapshot up to an index replaced the state machine's state. */
  onSnapshotInstalled: (index: number) => void;
  /** Called when the store or the state machine failed. */
  onFailure: (error: unknown) => void;
};

const log = createLog("replication");

/**
 * Executes the effects of a replica on its store. Completions are reported to the
 * replica in the order in which the effects were requested.
 */
export class StorageEffects {
  #options: StorageEffectsOptions;
  #completions: Promise<unknown> = Promise.resolve();

  constructor(options: StorageEffectsOptions) {
    this.#options = options;
  }

  /** Persists term, vote and entries. */
  persist(effect: Effect<"persist">): void {
    this.#reportWhenPersisted(
      effect.sequence,
      this.#options.store.persist(effect),
    );
  }

  /** Saves a received snapshot and restores the state machine from it. */
  installSnapshot(effect: Effect<"installSnapshot">): void {
    const { snapshot, parts, keepEntries, sequence } = effect;
    const data = Buffer.concat(
      parts.map((part) => Buffer.from(part, "base64")),
    );
    const { store, stateMachine, compactor, onSnapshotInstalled } =
      this.#options;
    const saved = store.saveSnapshot({ metadata: snapshot, data, keepEntries });
    const restored = Promise.all([this.#completions, saved]).then(() => {
      stateMachine.restore(data);
      compactor.resetAppliedBytes();
      onSnapshotInstalled(snapshot.index);
      log("snapshot_installed", { index: snapshot.index });
    });
    this.#reportWhenPersisted(sequence, restored);
  }

  /** Reads a part of the current snapshot to send it to another replica. */
  async readSnapshotPart(effect: Effect<"readSnapshotPart">): Promise<void> {
    const { to, index, offset, length } = effect;
    const { store, submitInput, onFailure } = this.#options;
    try {
      const part = await store.readSnapshotPart(index, offset, length);
      if (part !== null) {
        const data = part.toString("base64");
        submitInput({ kind: "snapshotPart", to, index, offset, data });
      }
    } catch (error) {
      onFailure(error);
    }
  }

  /** Saves a snapshot when the log has reached a limit. */
  async compactIfDue(replica: replication.Replica): Promise<void> {
    const { compactor, submitInput, onFailure } = this.#options;
    if (!compactor.isDue(replica)) {
      return;
    }
    try {
      const snapshot = await compactor.save(replica);
      if (snapshot !== null) {
        submitInput({ kind: "snapshotTaken", snapshot });
      }
    } catch (error) {
      if (error instanceof storage.NoSpaceError) {
        log("snapshot_not_saved", { error });
        return;
      }
      onFailure(error);
    }
  }

  /** Persists the first entries of a group, after all earlier requests. */
  async persistBootstrap(
    hardState: replication.HardState,
    entries: replication.Entry[],
  ): Promise<void> {
    await this.#completions;
    await this.#options.store.persist({ hardState, entries });
  }

  /**
   * Resolves when all requests so far have completed or failed, or wait for
   * space on the disk.
   */
  async waitForPending(): Promise<void> {
    const { store } = this.#options;
    let unsubscribe = () => {};
    const isFull = new Promise<void>((resolve) => {
      unsubscribe = store.onSpaceChange(() => resolve());
      if (!store.hasSpace) resolve();
    });
    await Promise.race([this.#completions.catch(() => undefined), isFull]);
    unsubscribe();
  }

  /** Reports completed writes to the replica, in the order of the requests. */
  #reportWhenPersisted(sequence: number, written: Promise<void>): void {
    const { submitInput, onFailure } = this.#options;
    this.#completions = Promise.all([this.#completions, written]).then(
      () => submitInput({ kind: "persisted", sequence }),
      onFailure,
    );
  }
}
