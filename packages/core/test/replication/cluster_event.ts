/**
 * Events of a simulated group of replicas.
 *
 * @module
 */

import type { PartitionSide } from "./leader_partition.ts";

/**
 * Event of a simulated group. Numbers select among the existing nodes or
 * members.
 */
export type ClusterEvent =
  | { kind: "run"; ms: number }
  | { kind: "propose"; node: number; count: number }
  | { kind: "loss"; share: number }
  | { kind: "cut"; from: number; to: number; both: boolean }
  | { kind: "isolate"; node: number }
  /** Partitions the next leader after it has sent some append messages. */
  | { kind: "ambush"; appends: number; cut: PartitionSide }
  /** Connects two nodes only to each other. */
  | { kind: "pair"; node: number; other: number }
  /** Reconnects a node to all nodes that are not isolated. */
  | { kind: "rejoin"; node: number }
  | { kind: "heal" }
  | { kind: "crash"; node: number }
  | { kind: "restart"; node: number }
  | { kind: "reboot"; node: number }
  | { kind: "pause"; node: number; ms: number }
  | { kind: "loseDisk"; node: number }
  | { kind: "fillDisk"; node: number; ms: number }
  | { kind: "snapshot" }
  | { kind: "transfer"; node: number }
  | { kind: "addLearner"; node: number }
  | { kind: "promote"; node: number }
  | { kind: "remove"; node: number };
