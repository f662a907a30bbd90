/**
 * Partitions the next leader while it sends its first append messages.
 *
 * @module
 */

import type * as replication from "../../src/replication/mod.ts";

/** Which side is partitioned. */
export type PartitionSide =
  /** The leader, in both directions. */
  | "leader"
  /** Messages from the leader; replies to earlier ones still reach it. */
  | "sends"
  /** The follower that the append is addressed to, in both directions. */
  | "follower";

/**
 * Partition that starts at an append message of a leader of a later term; this
 * message is lost too.
 */
export class LeaderPartition {
  readonly cut: PartitionSide;
  #term: number;
  #appends: number;

  /** @param appends appends that the leader may send before the partition */
  constructor(term: number, appends: number, cut: PartitionSide) {
    this.#term = term;
    this.#appends = appends;
    this.cut = cut;
  }

  /** Whether the partition starts at this message. */
  isTriggeredBy(message: replication.Message): boolean {
    if (message.kind !== "append" || message.term <= this.#term) {
      return false;
    }
    this.#appends -= 1;
    return this.#appends < 0;
  }
}
