/**
 * Cuts the next leader off at its first appends.
 *
 * @module
 */

import type * as replication from "../../src/replication/mod.ts";

/** Whom an ambush cuts off, and how. */
export type PartitionSide =
  /** The leader, both ways. */
  | "leader"
  /** What the leader sends; it hears the answers to what it has sent. */
  | "sends"
  /** The follower to which the append goes, both ways. */
  | "follower";

/** Waits for a leader of a later term; the append that meets it is lost too. */
export class LeaderPartition {
  readonly cut: PartitionSide;
  #term: number;
  #appends: number;

  /** @param appends appends that the leader may send before */
  constructor(term: number, appends: number, cut: PartitionSide) {
    this.#term = term;
    this.#appends = appends;
    this.cut = cut;
  }

  /** Whether this message is the one to cut off at. */
  isTriggeredBy(message: replication.Message): boolean {
    if (message.kind !== "append" || message.term <= this.#term) {
      return false;
    }
    this.#appends -= 1;
    return this.#appends < 0;
  }
}
