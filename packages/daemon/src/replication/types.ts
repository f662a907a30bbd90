/**
 * Types of the driver of one replica.
 *
 * @module
 */

import type { replication } from "@ebonypath/core";
import type { Buffer } from "node:buffer";
import type * as storage from "../storage/mod.ts";

/** Where an applied command stands in the log. */
export type LogPosition = { index: number; term: number };

/** The replica as its owner sees it. */
export type ReplicaStatus = {
  role: replication.Role;
  term: number;
  /** The leader, when one is known. */
  leader: replication.Member | null;
};

/** The state that the log feeds. All calls are synchronous and in order. */
export interface StateMachine {
  /** Applies committed entries, in order, once each. */
  apply(entries: replication.Entry[]): void;
  /** The whole state after the last applied entry. */
  takeSnapshot(): Uint8Array;
  /** Replaces the whole state by a snapshot. */
  restore(snapshot: Buffer): void;
}

/** Sends messages to other replicas. Loss is allowed, waiting is not. */
export interface Transport extends AsyncDisposable {
  send(to: replication.Member, messages: replication.Message[]): void;
}

/** What a driver owns and is told. */
export type DriverOptions = {
  /** This replica as the others reach it; the id is that of the store. */
  self: replication.Member;
  store: storage.Store;
  machine: StateMachine;
  transport: Transport;
  /** Called once, when the store has failed. The process must end. */
  onFailure: (error: unknown) => void;
  /** Monotonic clock in milliseconds. */
  clock?: () => number;
  /** Source of random numbers in [0, 1). */
  random?: () => number;
  settings?: Partial<replication.Settings>;
  /** Applied entries after which a snapshot is taken. */
  snapshotEntries?: number;
  /** Whether proposals of one turn are appended together; true by default. */
  groupCommit?: boolean;
  /** Time after which a proposal ends in `OutcomeUnknown`, in milliseconds. */
  proposalTimeoutMs?: number;
};
