/**
 * State shared by the roles of a replica.
 *
 * @module
 */

import { SyncTracker } from "./sync_tracker.ts";
import { Log } from "./log.ts";
import { EMPTY_MEMBERSHIP, MembershipHistory } from "./membership.ts";
import {
  DEFAULT_SETTINGS,
  type Effect,
  type Entry,
  type Message,
  type Options,
  type Role,
  type Settings,
  type SnapshotMetadata,
} from "./types.ts";

/** Term, log, membership and pending effects of a replica. */
export class Context {
  readonly self: string;
  readonly settings: Settings;
  readonly log: Log;
  readonly memberships: MembershipHistory;
  readonly syncTracker: SyncTracker;
  role: Role = "follower";
  leader: string | null = null;
  term: number;
  vote: string | null;
  commitIndex: number;
  appliedIndex: number;
  snapshot: SnapshotMetadata | null;
  /** Clock value of the current step, in monotonic milliseconds. */
  now: number;
  /**
   * When a leader was last heard from. Initialized to the start time, because a
   * restarted voter no longer knows which leader it heard before.
   */
  lastLeaderContactAt: number;
  electionDeadline = 0;
  /** Whether the disk has space for what is to be persisted. */
  hasDiskSpace = true;
  /** Whether this replica has led or followed a leader since it started. */
  hasSeenLeader = false;
  #random: () => number;
  #effects: Effect[] = [];

  constructor(options: Options) {
    const { snapshot, entries, hardState } = options;
    const base = snapshot?.index ?? 0;
    this.self = options.self;
    this.settings = { ...DEFAULT_SETTINGS, ...options.settings };
    this.log = new Log(base, snapshot?.term ?? 0, entries);
    this.memberships = new MembershipHistory(
      base,
      snapshot?.membership ?? EMPTY_MEMBERSHIP,
      entries,
    );
    this.syncTracker = new SyncTracker(this.log.lastIndex);
    this.term = hardState.term;
    this.vote = hardState.vote;
    this.commitIndex = base;
    this.appliedIndex = base;
    this.snapshot = snapshot;
    this.now = options.now;
    this.lastLeaderContactAt = options.now;
    this.#random = options.random;
    this.resetElectionDeadline();
  }

  /** Adds an effect to the current step. */
  emit(effect: Effect): void {
    this.#effects.push(effect);
  }

  /** Returns the effects of the current step and clears them. */
  drainEffects(): Effect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  /** Sends a message immediately. */
  send(to: string, message: Message): void {
    this.emit({ kind: "send", to, message });
  }

  /** Sends a message once all syncs requested so far are done. */
  sendAfterAllSyncs(to: string, message: Message): void {
    const send = { kind: "send", to, message } as const;
    if (!this.syncTracker.deferSend(send)) {
      this.emit(send);
    }
  }

  /**
   * Sends a message that depends only on the persisted term and vote:
   * immediately, unless a change of these is still being synced.
   */
  sendAfterHardStateSync(to: string, message: Message): void {
    if (this.syncTracker.isHardStatePending) {
      this.sendAfterAllSyncs(to, message);
    } else {
      this.send(to, message);
    }
  }

  /** Sets term and vote and requests a sync. */
  setHardState(term: number, vote: string | null): void {
    this.term = term;
    this.vote = vote;
    const sequence = this.syncTracker.beginSync(0, {
      changesHardState: true,
      installsSnapshot: false,
    });
    this.emit({
      kind: "persist",
      sequence,
      hardState: { term, vote },
      truncateFrom: null,
      entries: [],
    });
  }

  /**
   * Appends entries to the log, replacing any at the same indexes, and requests
   * a sync.
   */
  appendEntries(entries: Entry[]): void {
    const first = entries[0];
    if (first === undefined) {
      return;
    }
    const truncateFrom = first.index <= this.log.lastIndex ? first.index : null;
    const membership = this.memberships.current;
    if (truncateFrom !== null) {
      this.#truncateFrom(truncateFrom);
    }
    this.log.append(entries);
    this.memberships.append(entries);
    const sequence = this.syncTracker.beginSync(this.log.lastIndex, {
      changesHardState: false,
      installsSnapshot: false,
    });
    this.emit({
      kind: "persist",
      sequence,
      hardState: null,
      truncateFrom,
      entries,
    });
    if (this.memberships.current !== membership) {
      this.emitMembership();
    }
  }

  /** Reports the effective membership to the owner. */
  emitMembership(): void {
    this.emit({ kind: "membership", membership: this.memberships.current });
  }

  /** Becomes a follower, and moves to `term` if that is later. */
  becomeFollower(term: number, leader: string | null): void {
    if (term > this.term) {
      this.setHardState(term, null);
    }
    this.role = "follower";
    this.leader = leader;
    this.resetElectionDeadline();
  }

  /** Records contact with the leader of the current term. */
  recordLeaderContact(leader: string): void {
    if (this.role !== "follower" || this.leader !== leader) {
      this.becomeFollower(this.term, leader);
    }
    this.lastLeaderContactAt = this.now;
    this.hasSeenLeader = true;
    this.resetElectionDeadline();
  }

  /** Restarts the election timer with a new random timeout. */
  resetElectionDeadline(): void {
    const { electionTimeoutMinimumMs, electionTimeoutMaximumMs } =
      this.settings;
    this.electionDeadline = this.now +
      this.randomBetween(electionTimeoutMinimumMs, electionTimeoutMaximumMs);
  }

  /** Returns a random number between the two bounds. */
  randomBetween(least: number, most: number): number {
    return least + this.#random() * (most - least);
  }

  /** Raises the commit index to `index`, never lowering it. */
  advanceCommitIndex(index: number): void {
    this.commitIndex = Math.max(this.commitIndex, index);
  }

  /** Emits the entries that are committed and synced locally. */
  applyCommitted(): void {
    if (this.syncTracker.isInstallingSnapshot) {
      return;
    }
    const target = Math.min(this.commitIndex, this.syncTracker.durableIndex);
    if (target <= this.appliedIndex) {
      return;
    }
    const entries = this.log.slice(this.appliedIndex + 1, target);
    this.appliedIndex = target;
    this.emit({ kind: "apply", entries });
  }

  #truncateFrom(index: number): void {
    if (index <= this.commitIndex) {
      throw new Error(
        `replica ${this.self} cannot truncate its log at committed entry ${index}`,
      );
    }
    this.log.truncateFrom(index);
    this.memberships.truncateFrom(index);
    this.syncTracker.truncateFrom(index);
  }
}
