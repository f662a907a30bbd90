/**
 * Simulated node whose disk can lose unsynced writes.
 *
 * @module
 */

import * as protocol from "@ebonypath/protocol";
import { Buffer } from "node:buffer";
import * as replication from "../../src/replication/mod.ts";
import type { InvariantChecker, State } from "./invariant_checker.ts";

const MAX_SLOW_SYNC_MS = 400;
const SLOW_SYNC_CHANCE = 0.05;
const SNAPSHOT_PART_BYTES = 16;

type Write =
  | Extract<replication.Effect, { kind: "persist" | "installSnapshot" }>
  | { kind: "save"; saved: SavedSnapshot };
type SavedSnapshot = { metadata: replication.SnapshotMetadata; data: Buffer };
type ScheduledWrite = { write: Write; syncedAt: number };
type Disk = {
  hardState: replication.HardState;
  snapshot: SavedSnapshot | null;
  entries: replication.Entry[];
};

/** Simulation services and settings that the nodes of a run share. */
export type NodeEnvironment = {
  random: () => number;
  checker: InvariantChecker;
  /** Maximum duration of a normal sync, in milliseconds. */
  syncMs: number;
  /** Maximum election timeout in milliseconds. */
  electionTimeoutMaximumMs: number;
  /** Returns the replicas that hold a lease. */
  leaseHolders: () => replication.Replica[];
  send: (from: string, to: string, message: replication.Message) => void;
};

/** A replica with its disk and clock. */
export class Node {
  readonly id: string;
  readonly clockRate: number;
  replica: replication.Replica | null = null;
  pausedUntil = 0;
  /** Until when the disk is full. */
  fullUntil = 0;
  state: State = { index: 0, digest: "" };
  #disk: Disk = {
    hardState: { term: 0, vote: null },
    snapshot: null,
    entries: [],
  };
  #pending: ScheduledWrite[] = [];
  /** Whether the replica knows that its disk is full. */
  #isKnownFull = false;
  #inputs: replication.Input[] = [];
  #environment: NodeEnvironment;

  constructor(id: string, clockRate: number, environment: NodeEnvironment) {
    this.id = id;
    this.clockRate = clockRate;
    this.#environment = environment;
  }

  /** Writes the bootstrap state of a new group to the disk. */
  writeBootstrapState(membership: replication.Membership): void {
    const { hardState, entries } = replication.bootstrapState(membership);
    this.#disk = { hardState, snapshot: null, entries };
    this.#environment.checker.checkLogMatching(entries, 0);
  }

  /** Starts a replica from the disk. */
  start(time: number): void {
    const { snapshot, hardState, entries } = this.#disk;
    const base = snapshot?.metadata.index ?? 0;
    this.#pending = [];
    this.#isKnownFull = false;
    this.#inputs = [];
    this.state = snapshot === null
      ? { index: 0, digest: "" }
      : JSON.parse(snapshot.data.toString());
    this.replica = new replication.Replica({
      self: this.id,
      hardState: { ...hardState },
      snapshot: snapshot?.metadata ?? null,
      entries: entries.filter(({ index }) => index > base),
      random: this.#environment.random,
      now: this.clock(time),
      settings: {
        electionTimeoutMaximumMs: this.#environment.electionTimeoutMaximumMs,
        maxAppendEntries: 3,
        maxInflightAppends: 3,
        snapshotPartBytes: SNAPSHOT_PART_BYTES,
        retainedEntries: 2,
        maxPromotionLagEntries: 4,
      },
    });
  }

  /**
   * Stops the replica; a random prefix of the unsynced writes reaches the disk.
   */
  crash(): void {
    const count = this.#pending.length + 1;
    const writtenCount = Math.floor(this.#environment.random() * count);
    for (const { write } of this.#pending.slice(0, writtenCount)) {
      this.#applyWrite(write);
    }
    this.#pending = [];
    this.replica = null;
  }

  /** Returns this node's monotonic clock value. */
  clock(time: number): number {
    return time * this.clockRate;
  }

  /** Whether this node is started and not paused at the given time. */
  isRunning(time: number): boolean {
    return this.replica !== null && time >= this.pausedUntil;
  }

  /** Starts writing a snapshot of the applied state. */
  takeSnapshot(time: number): void {
    const { index } = this.state;
    const term = this.replica?.termAt(index) ?? null;
    const known = this.replica?.snapshot?.index ?? 0;
    if (this.replica === null || term === null || index <= known) {
      return;
    }
    const membership = this.replica.membershipAt(index);
    const data = Buffer.from(JSON.stringify(this.state));
    const metadata = { index, term, membership, bytes: data.length };
    this.#scheduleWrite({ kind: "save", saved: { metadata, data } }, time);
  }

  /** Processes queued inputs, completes due syncs and ticks the replica. */
  run(time: number): void {
    while (this.#inputs.length > 0) {
      this.step(this.#inputs.shift() as replication.Input, time);
    }
    this.#reportDiskSpace(time);
    while (this.#pending[0] !== undefined && time >= this.fullUntil) {
      const { write, syncedAt } = this.#pending[0];
      if (syncedAt > time) {
        break;
      }
      this.#pending.shift();
      this.#applyWrite(write);
      this.#completeWrite(write, time);
    }
    this.step({ kind: "tick" }, time);
  }

  /** Tells the replica when a write waits for space, and when it goes on. */
  #reportDiskSpace(time: number): void {
    const isFull = time < this.fullUntil &&
      (this.#isKnownFull || this.#pending.length > 0);
    if (isFull !== this.#isKnownFull) {
      this.#isKnownFull = isFull;
      this.step({ kind: "diskSpace", hasSpace: !isFull }, time);
    }
  }

  /** Passes one input to the replica and executes the effects. */
  step(input: replication.Input, time: number): void {
    const { replica } = this;
    if (replica === null) {
      return;
    }
    const { checker } = this.#environment;
    const committed = replica.commitIndex;
    const effects = replica.step(input, this.clock(time));
    checker.steps += 1;
    checker.checkCommitted(replica, committed);
    for (const effect of effects) {
      this.#executeEffect(effect, time);
    }
  }

  #executeEffect(effect: replication.Effect, time: number): void {
    const { checker } = this.#environment;
    const replica = this.replica as replication.Replica;
    switch (effect.kind) {
      case "persist": {
        const first = effect.entries[0]?.index ?? 0;
        checker.checkLogMatching(effect.entries, replica.termAt(first - 1));
        this.#scheduleWrite(effect, time);
        return;
      }
      case "installSnapshot":
        this.#scheduleWrite(effect, time);
        return;
      case "send":
        this.#environment.send(this.id, effect.to, effect.message);
        return;
      case "apply":
        this.state = checker.checkApplied(this.state, effect.entries);
        return;
      case "status":
        if (effect.role === "leader") {
          checker.checkElection(replica, this.#environment.leaseHolders());
        }
        return;
      case "readSnapshotPart":
        this.#readPart(effect);
        return;
      case "outcome":
      case "membership":
        return;
      default:
        protocol.errors.assertNever(effect);
    }
  }

  #readPart(
    { to, index, offset, length }: Extract<
      replication.Effect,
      { kind: "readSnapshotPart" }
    >,
  ): void {
    const { snapshot } = this.#disk;
    if (snapshot?.metadata.index === index) {
      const part = snapshot.data.subarray(offset, offset + length);
      const data = part.toString("base64");
      this.#inputs.push({ kind: "snapshotPart", to, index, offset, data });
    }
  }

  #scheduleWrite(write: Write, time: number): void {
    const { random, syncMs } = this.#environment;
    const longest = random() < SLOW_SYNC_CHANCE ? MAX_SLOW_SYNC_MS : syncMs;
    const earliest = this.#pending.at(-1)?.syncedAt ?? 0;
    const syncedAt = Math.max(earliest, time + random() * longest);
    this.#pending.push({ write, syncedAt });
  }

  #completeWrite(write: Write, time: number): void {
    switch (write.kind) {
      case "persist":
        this.step({ kind: "persisted", sequence: write.sequence }, time);
        return;
      case "installSnapshot": {
        const { sequence } = write;
        const data = this.#disk.snapshot?.data.toString() ?? "";
        const state: State = JSON.parse(data);
        if (state.index < this.state.index) {
          throw new Error(
            `${this.id} would go back to the snapshot at ${state.index}`,
          );
        }
        this.#environment.checker.checkState(state);
        this.state = state;
        this.step({ kind: "persisted", sequence }, time);
        return;
      }
      case "save": {
        const snapshot = write.saved.metadata;
        this.step({ kind: "snapshotTaken", snapshot }, time);
        return;
      }
      default:
        protocol.errors.assertNever(write);
    }
  }

  #applyWrite(write: Write): void {
    switch (write.kind) {
      case "persist":
        this.#writeRecords(write);
        return;
      case "installSnapshot": {
        const parts = write.parts.map((part) => Buffer.from(part, "base64"));
        const data = Buffer.concat(parts);
        const saved = { metadata: write.snapshot, data };
        this.#writeSnapshot(saved, write.keepEntries);
        return;
      }
      case "save":
        this.#writeSnapshot(write.saved, true);
        return;
      default:
        protocol.errors.assertNever(write);
    }
  }

  #writeRecords(
    { hardState, truncateFrom, entries }: Extract<Write, { kind: "persist" }>,
  ): void {
    const disk = this.#disk;
    disk.hardState = hardState ?? disk.hardState;
    if (truncateFrom !== null) {
      disk.entries = disk.entries.filter(({ index }) => index < truncateFrom);
    }
    const last = disk.entries.at(-1)?.index ??
      disk.snapshot?.metadata.index ?? 0;
    const first = entries[0]?.index ?? last + 1;
    if (first !== last + 1) {
      throw new Error(`${this.id} wrote entry ${first} after ${last}`);
    }
    disk.entries = [...disk.entries, ...entries];
  }

  #writeSnapshot(saved: SavedSnapshot, keepEntries: boolean): void {
    const disk = this.#disk;
    const { index } = saved.metadata;
    if (index <= (disk.snapshot?.metadata.index ?? 0)) {
      return;
    }
    disk.snapshot = saved;
    disk.entries = keepEntries
      ? disk.entries.filter((entry) => entry.index > index)
      : [];
  }
}
