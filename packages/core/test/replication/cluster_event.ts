/**
 * What can happen to a group of replicas.
 *
 * @module
 */

import type { PartitionSide } from "./leader_partition.ts";

/** One thing that happens to a group. Numbers pick among what is there. */
export type ClusterEvent =
  | { kind: "run"; ms: number }
  | { kind: "propose"; node: number; count: number }
  | { kind: "loss"; share: number }
  | { kind: "cut"; from: number; to: number; both: boolean }
  | { kind: "isolate"; node: number }
  /** Cuts the next leader off once it has sent some appends. */
  | { kind: "ambush"; appends: number; cut: PartitionSide }
  /** Leaves two nodes with nobody but each other. */
  | { kind: "pair"; node: number; other: number }
  /** Ends the isolation of a node, but for those still isolated. */
  | { kind: "rejoin"; node: number }
  | { kind: "heal" }
  | { kind: "crash"; node: number }
  | { kind: "restart"; node: number }
  | { kind: "reboot"; node: number }
  | { kind: "pause"; node: number; ms: number }
  | { kind: "loseDisk"; node: number }
  | { kind: "snapshot" }
  | { kind: "transfer"; node: number }
  | { kind: "addLearner"; node: number }
  | { kind: "promote"; node: number }
  | { kind: "remove"; node: number };
