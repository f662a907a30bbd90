/**
 * The state that the roles of a replica share.
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

/** Term, log, membership and pending effects of one replica. */
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
  /** Clock of the present step, monotonic milliseconds. */
  now: number;
  /** When a leader was last heard; a start counts as hearing one. */
  lastLeaderContactAt: number;
  electionDeadline = 0;
  /** Whether there was a leader since the start, here or elsewhere. */
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

  /** Adds an effect of the present step. */
  emit(effect: Effect): void {
    this.#effects.push(effect);
  }

  /** Takes the effects of the present step. */
  drainEffects(): Effect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  /** Sends a message at once. */
  send(to: string, message: Message): void {
    this.emit({ kind: "send", to, message });
  }

  /** Sends a message once everything asked for so far is synced. */
  sendAfterAllSyncs(to: string, message: Message): void {
    const send = { kind: "send", to, message } as const;
    if (!this.syncTracker.deferSend(send)) {
      this.emit(send);
    }
  }

  /** Sends an answer that relies on term and vote alone. */
  sendAfterHardStateSync(to: string, message: Message): void {
    if (this.syncTracker.isHardStatePending) {
      this.sendAfterAllSyncs(to, message);
    } else {
      this.send(to, message);
    }
  }

  /** Sets term and vote and asks for their sync. */
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

  /** Puts entries into the log and asks for their sync. */
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

  /** Tells the owner which membership is in effect. */
  emitMembership(): void {
    this.emit({ kind: "membership", membership: this.memberships.current });
  }

  /** Becomes a follower, of a later term when `term` is later. */
  becomeFollower(term: number, leader: string | null): void {
    if (term > this.term) {
      this.setHardState(term, null);
    }
    this.role = "follower";
    this.leader = leader;
    this.resetElectionDeadline();
  }

  /** Notes that the leader of the present term was heard. */
  recordLeaderContact(leader: string): void {
    if (this.role !== "follower" || this.leader !== leader) {
      this.becomeFollower(this.term, leader);
    }
    this.lastLeaderContactAt = this.now;
    this.hasSeenLeader = true;
    this.resetElectionDeadline();
  }

  /** Draws a new election timeout, counted from now. */
  resetElectionDeadline(): void {
    const { electionTimeoutMinimumMs, electionTimeoutMaximumMs } =
      this.settings;
    this.electionDeadline = this.now +
      this.randomBetween(electionTimeoutMinimumMs, electionTimeoutMaximumMs);
  }

  /** Draws a number between two others. */
  randomBetween(least: number, most: number): number {
    return least + this.#random() * (most - least);
  }

  /** Raises the commit index. */
  advanceCommitIndex(index: number): void {
    this.commitIndex = Math.max(this.commitIndex, index);
  }

  /** Hands out the entries that are committed and synced here. */
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
        `replica ${this.self} was asked to remove committed entry ${index}`,
      );
    }
    this.log.truncateFrom(index);
    this.memberships.truncateFrom(index);
    this.syncTracker.truncateFrom(index);
  }
}
