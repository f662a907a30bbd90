/**
 * Invariants of the replicated log, checked across all replicas of a run.
 *
 * @module
 */

import type * as replication from "../../src/replication/mod.ts";

/**
 * Records the actions of all replicas of a run and throws on a violated
 * invariant.
 */
export class InvariantChecker {
  steps = 0;
  highestCommit = 0;
  #leaders = new Map<number, string>();
  #entries = new Map<string, string>();
  #committed = new Map<number, CommittedEntry>();
  #digests = new Map<number, string>([[0, ""]]);

  /**
   * Checks that a term has one leader, that this leader holds all entries
   * committed in earlier terms, and that no leader of an earlier term holds a
   * lease when it is elected. A replica that was paused may be elected late,
   * while the leader of a later term holds the lease.
   */
  checkElection(
    replica: replication.Replica,
    holders: replication.Replica[],
  ): void {
    const holder = holders.find(({ term }) => term < replica.term);
    if (holder !== undefined) {
      throw new Error(
        `${replica.self} was elected during the lease of ${holder.self}`,
      );
    }
    const existing = this.#leaders.get(replica.term) ?? replica.self;
    this.#leaders.set(replica.term, replica.self);
    if (existing !== replica.self) {
      throw new Error(
        `${existing} and ${replica.self} are both leader in term ${replica.term}`,
      );
    }
    for (const [index, { term, seenIn }] of this.#committed) {
      const ownTerm = replica.termAt(index);
      const isLost = ownTerm !== null && ownTerm !== term ||
        index > replica.lastIndex;
      if (isLost && seenIn < replica.term) {
        throw new Error(
          `leader ${replica.self} lacks committed entry ${index}`,
        );
      }
    }
  }

  /**
   * Checks log matching: index and term determine an entry and the term before
   * it.
   */
  checkLogMatching(
    entries: replication.Entry[],
    previousTerm: number | null,
  ): void {
    let before = previousTerm;
    for (const { index, term, payload } of entries) {
      const key = `${index}:${term}`;
      const content = JSON.stringify([before, payload]);
      const existing = this.#entries.get(key) ?? content;
      this.#entries.set(key, existing);
      if (existing !== content) {
        throw new Error(`entry ${key} differs: ${existing} and ${content}`);
      }
      before = term;
    }
  }

  /** Checks that a committed entry never changes. */
  checkCommitted(replica: replication.Replica, from: number): void {
    for (let index = from + 1; index <= replica.commitIndex; index += 1) {
      const term = replica.termAt(index);
      if (term === null) {
        continue;
      }
      const existing = this.#committed.get(index);
      if (existing !== undefined && existing.term !== term) {
        throw new Error(`${replica.self} changed committed entry ${index}`);
      }
      if (existing === undefined) {
        this.#committed.set(index, { term, seenIn: replica.term });
      }
    }
    this.highestCommit = Math.max(this.highestCommit, replica.commitIndex);
  }

  /**
   * Checks that all replicas apply the same sequence of entries; returns the
   * new state.
   */
  checkApplied(state: State, entries: replication.Entry[]): State {
    let { index, digest } = state;
    for (const entry of entries) {
      if (entry.index !== index + 1) {
        throw new Error(`entry ${entry.index} applied after ${index}`);
      }
      index = entry.index;
      digest = shortHash(digest + JSON.stringify(entry));
      this.checkState({ index, digest });
    }
    return { index, digest };
  }

  /** Checks that all states at the same index are equal. */
  checkState({ index, digest }: State): void {
    const existing = this.#digests.get(index) ?? digest;
    this.#digests.set(index, existing);
    if (existing !== digest) {
      throw new Error(`states at index ${index} differ`);
    }
  }

  /** Checks that no two replicas hold a lease at the same time. */
  checkLeases(holders: replication.Replica[]): void {
    if (holders.length > 1) {
      const ids = holders.map(({ self }) => self);
      throw new Error(`leases held by ${ids.join(" and ")}`);
    }
  }
}

/**
 * Term of a committed entry, and the term in which its commit was first seen.
 */
type CommittedEntry = { term: number; seenIn: number };

/** Substitute for the state machine: a digest of all applied entries. */
export type State = { index: number; digest: string };

function shortHash(text: string): string {
  let hash = 0x811c9dc5;
  for (let position = 0; position < text.length; position += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(position), 0x01000193) >>> 0;
  }
  return hash.toString(16).padStart(8, "0");
}
