/**
 * The promises of the replicated log, checked over all replicas of a run.
 *
 * @module
 */

import type * as replication from "../../src/replication/mod.ts";

/** Collects what every replica of a run did and refuses contradictions. */
export class InvariantChecker {
  steps = 0;
  highestCommit = 0;
  #leaders = new Map<number, string>();
  #entries = new Map<string, string>();
  #committed = new Map<number, CommittedEntry>();
  #digests = new Map<number, string>([[0, ""]]);

  /**
   * One leader per term, it holds what was committed in earlier terms, and no
   * leader of an
   * earlier term holds a lease when it is elected. A replica that was paused
   * may find itself elected late, while a later leader holds the lease.
   */
  checkElection(
    replica: replication.Replica,
    holders: replication.Replica[],
  ): void {
    const holder = holders.find(({ term }) => term < replica.term);
    if (holder !== undefined) {
      throw new Error(`${replica.self} elected in lease of ${holder.self}`);
    }
    const existing = this.#leaders.get(replica.term) ?? replica.self;
    this.#leaders.set(replica.term, replica.self);
    if (existing !== replica.self) {
      throw new Error(`${existing} and ${replica.self} lead ${replica.term}`);
    }
    for (const [index, { term, seenIn }] of this.#committed) {
      const ownTerm = replica.termAt(index);
      const isLost = ownTerm !== null && ownTerm !== term ||
        index > replica.lastIndex;
      if (isLost && seenIn < replica.term) {
        throw new Error(`leader ${replica.self} lost committed entry ${index}`);
      }
    }
  }

  /** Log matching: index and term determine an entry and its predecessor. */
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
        throw new Error(`entry ${key} is ${existing} and ${content}`);
      }
      before = term;
    }
  }

  /** A committed entry never changes. */
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

  /** Equal sequences of applied entries; returns the state's new digest. */
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

  /** Every state of one index is the same. */
  checkState({ index, digest }: State): void {
    const existing = this.#digests.get(index) ?? digest;
    this.#digests.set(index, existing);
    if (existing !== digest) {
      throw new Error(`states at ${index} differ`);
    }
  }

  /** No two replicas hold a lease at the same time. */
  checkLeases(holders: replication.Replica[]): void {
    if (holders.length > 1) {
      const ids = holders.map(({ self }) => self);
      throw new Error(`leases held by ${ids.join(" and ")}`);
    }
  }
}

/** Term of a committed entry, and the term in which its commit was seen. */
type CommittedEntry = { term: number; seenIn: number };

/** Stand-in for the state machine: the digest of all applied entries. */
export type State = { index: number; digest: string };

function shortHash(text: string): string {
  let hash = 0x811c9dc5;
  for (let position = 0; position < text.length; position += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(position), 0x01000193) >>> 0;
  }
  return hash.toString(16).padStart(8, "0");
}
