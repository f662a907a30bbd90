/**
 * Types of the replication driver.
 *
 * @module
 */

import type { replication } from "@ebonypath/core";
import type { Buffer } from "node:buffer";
import type * as storage from "../storage/mod.ts";

/** Position of an entry in the log. */
export type LogPosition = { index: number; term: number };

/** Role, term and leader as a replica knows them. */
export type ReplicaStatus = {
  role: replication.Role;
  term: number;
  /** The leader; null when unknown. */
  leader: replication.Member | null;
};

/** The state machine of the log. All calls are synchronous and in log order. */
export interface StateMachine {
  /** Applies committed entries. Each entry is applied once. */
  apply(entries: replication.Entry[]): void;
  /** Serializes the state after the last applied entry. */
  takeSnapshot(): Uint8Array;
  /** Replaces the state with a snapshot. */
  restore(snapshot: Buffer): void;
}

/** Sends messages to other replicas. It may lose them, but must not block. */
export interface Transport extends AsyncDisposable {
  send(to: replication.Member, messages: replication.Message[]): void;
}

/** Options of {@link ReplicationDriver}. */
export type DriverOptions = {
  /** Id and address of this replica; the id is the identity of the store. */
  self: replication.Member;
  store: storage.Store;
  machine: StateMachine;
  transport: Transport;
  /**
   * Called once, when the store or the state machine has failed. The process must
   * exit.
   */
  onFailure: (error: unknown) => void;
  /** Monotonic clock in milliseconds. */
  clock?: () => number;
  /** Source of random numbers in [0, 1). */
  random?: () => number;
  settings?: Partial<replication.Settings>;
  /** Number of entries applied since the last snapshot at which one is due. */
  snapshotEntries?: number;
  /** Appends the proposals of one turn together; true by default. */
  groupCommit?: boolean;
  /**
   * Time after which a proposal is rejected with `OutcomeUnknown`, in
   * milliseconds.
   */
  proposalTimeoutMs?: number;
};
