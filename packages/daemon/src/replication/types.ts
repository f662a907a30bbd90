/**
 * Types of the driver of one replica.
 *
 * @module
 */

import type { replication } from "@ebonypath/core";
import type { Buffer } from "node:buffer";

/** Where an applied command stands in the log. */
export type Position = { index: number; term: number };

/** The replica as its owner sees it. */
export type Status = {
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
