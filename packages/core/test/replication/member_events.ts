/**
 * Membership changes requested by operators during a run.
 *
 * @module
 */

import * as protocol from "@ebonypath/protocol";
import * as replication from "../../src/replication/mod.ts";
import type { ClusterEvent } from "./cluster_event.ts";
import { slotOf } from "./network.ts";

/** Minimum number of voters to keep, unless a voter's disk was lost. */
const MIN_GROUP_SIZE = 3;

export type MembershipEvent = Extract<
  ClusterEvent,
  { kind: "addLearner" | "promote" | "remove" }
>;

/**
 * Returns the change that an event requests, or null if no member qualifies.
 */
export function toMembershipChange(
  { kind, node: number }: MembershipEvent,
  { voters, learners }: replication.Membership,
  nodeIds: readonly string[],
): replication.MembershipChange | null {
  const hasDisk = ({ id }: replication.Member) => nodeIds.includes(id);
  switch (kind) {
    case "addLearner": {
      const memberIds = [...voters, ...learners].map(({ id }) => id);
      const nonMembers = nodeIds.filter((id) => !memberIds.includes(id));
      const id = pickByNumber(nonMembers, number);
      return id === undefined ? null : { kind, member: memberOf(id) };
    }
    case "promote": {
      // Promote only a learner that still has its disk: another dead voter
      // could cost the group its quorum.
      const learner = pickByNumber(learners.filter(hasDisk), number);
      return learner === undefined ? null : { kind, id: learner.id };
    }
    case "remove": {
      const dead = voters.filter((voter) => !hasDisk(voter));
      const removable = voters.length > MIN_GROUP_SIZE ? voters : [];
      const voter = pickByNumber(dead.length > 0 ? dead : removable, number);
      return voter === undefined ? null : { kind, id: voter.id };
    }
    default:
      return protocol.errors.assertNever(kind);
  }
}

/**
 * Whether a quorum of each membership keeps its disks when one more is lost.
 */
export function keepsQuorums(
  memberships: readonly replication.Membership[],
  nodeIds: readonly string[],
  lost: string,
): boolean {
  return memberships.every(({ voters }) => {
    const kept = voters.filter(({ id }) => id !== lost && nodeIds.includes(id));
    return voters.length === 0 || kept.length > voters.length / 2;
  });
}

/** Returns the member record of a node. */
export function memberOf(id: string): replication.Member {
  return { id, address: slotOf(id) };
}

/** Selects an item by any non-negative number. */
export function pickByNumber<Item>(
  items: readonly Item[],
  number: number,
): Item | undefined {
  return items[number % items.length];
}
