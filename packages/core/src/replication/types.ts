/**
 * Inputs, effects and options of the replication module.
 *
 * @module
 */

import type { replication } from "@ebonypath/protocol";

/** One entry of the replicated log. */
export type Entry = replication.Entry;
/** What one log entry carries. */
export type Payload = replication.Payload;
/** One replica of the group. */
export type Member = replication.Member;
/** Voters and learners. */
export type Membership = replication.Membership;
/** Term and vote. */
export type HardState = replication.HardState;
/** What a snapshot covers. */
export type SnapshotMetadata = replication.SnapshotMetadata;
/** A message between two replicas. */
export type Message = replication.Message;

/** What a replica does at present. */
export type Role = "follower" | "preCandidate" | "candidate" | "leader";

/** One command to append. The id is chosen by the caller and returned. */
export type Proposal = { id: number; data: string };

/** A change of one member. */
export type MembershipChange =
  | { kind: "addLearner"; member: Member }
  | { kind: "promote"; id: string }
  | { kind: "remove"; id: string };

/** A change with a command that is applied when the change is committed. */
export type MembershipChangeRequest = MembershipChange & { note?: string };

/** What the owner of a replica tells it. */
export type Input =
  | { kind: "tick" }
  | { kind: "message"; from: string; message: Message }
  | { kind: "propose"; proposals: Proposal[] }
  | { kind: "persisted"; sequence: number }
  | { kind: "snapshotTaken"; snapshot: SnapshotMetadata }
  | {
    kind: "snapshotPart";
    to: string;
    index: number;
    offset: number;
    data: string;
  }
  | { kind: "changeMembership"; id: number; change: MembershipChangeRequest }
  | { kind: "transferLeadership"; to: string };

/** Why a proposal or a change was refused. Nothing was appended. */
export type RefusalReason =
  | "notLeader"
  | "transferring"
  | "overloaded"
  | "tooLarge"
  | "changePending"
  | "notCaughtUp"
  | "unknownMember"
  | "alreadyMember"
  | "lastVoter";

/** The answer to one proposal or membership change. */
export type Outcome =
  | { kind: "appended"; id: number; index: number; term: number }
  | {
    kind: "refused";
    id: number;
    reason: RefusalReason;
    leader: string | null;
  };

/**
 * What the owner of a replica has to do, in order.
 *
 * `persist` and `installSnapshot` are answered by the input `persisted` with
 * their sequence number once they are synced; they take effect in order, and
 * one answer may cover several. `apply` holds committed, synced entries.
 */
export type Effect =
  | {
    kind: "persist";
    sequence: number;
    hardState: HardState | null;
    truncateFrom: number | null;
    entries: Entry[];
  }
  | {
    kind: "installSnapshot";
    sequence: number;
    snapshot: SnapshotMetadata;
    parts: string[];
    keepEntries: boolean;
  }
  | { kind: "send"; to: string; message: Message }
  | { kind: "apply"; entries: Entry[] }
  | { kind: "outcome"; outcome: Outcome }
  | { kind: "status"; role: Role; term: number; leader: string | null }
  | { kind: "membership"; membership: Membership }
  | {
    kind: "readSnapshotPart";
    to: string;
    index: number;
    offset: number;
    length: number;
  };

/** Sizes and times of a replica. */
export type Settings = {
  /** Interval of the leader's heartbeats. */
  heartbeatMs: number;
  /** Shortest election timeout, and how long a voter stays with a leader. */
  electionTimeoutMinimumMs: number;
  /** Longest election timeout. */
  electionTimeoutMaximumMs: number;
  /** Shortest time between questions whether anyone leads, after a start. */
  probeMinimumMs: number;
  /** Longest such time. */
  probeMaximumMs: number;
  /** Share of the shortest election timeout by which a lease is shorter. */
  leaseMargin: number;
  /** Bytes of payload in one append message. */
  maxAppendBytes: number;
  /** Entries in one append message. */
  maxAppendEntries: number;
  /** Append messages on the way to one follower. */
  maxInflightAppends: number;
  /** Characters in one proposal; it has to fit into one message. */
  maxProposalCharacters: number;
  /** Entries that may wait for their commit at the leader. */
  maxUncommittedEntries: number;
  /** Bytes of payload that may wait for their commit at the leader. */
  maxUncommittedBytes: number;
  /** Bytes in one part of a snapshot. */
  snapshotPartBytes: number;
  /** Bytes of a snapshot that a follower accepts. */
  maxSnapshotBytes: number;
  /** Time after which a part of a snapshot is sent again. */
  snapshotRetryMs: number;
  /** Compacted entries kept in memory for followers that are a little behind. */
  retainedEntries: number;
  /** Entries that a learner may be behind when it becomes a voter. */
  maxPromotionLagEntries: number;
};

/** Default {@link Settings}. */
export const DEFAULT_SETTINGS: Readonly<Settings> = Object.freeze({
  heartbeatMs: 100,
  electionTimeoutMinimumMs: 600,
  electionTimeoutMaximumMs: 1200,
  // Several round trips apart, so that few of five voters ask at once.
  probeMinimumMs: 50,
  probeMaximumMs: 350,
  leaseMargin: 0.1,
  maxAppendBytes: 256 * 1024,
  maxAppendEntries: 512,
  maxInflightAppends: 8,
  maxProposalCharacters: 2 * 1024 * 1024,
  maxUncommittedEntries: 20_000,
  maxUncommittedBytes: 64 * 1024 * 1024,
  snapshotPartBytes: 256 * 1024,
  maxSnapshotBytes: 1024 * 1024 * 1024,
  snapshotRetryMs: 1000,
  retainedEntries: 2000,
  maxPromotionLagEntries: 64,
});

/** How a replica starts: what its disk holds, its clock and random source. */
export type Options = {
  /** Id of this replica. */
  self: string;
  /** Recovered term and vote. */
  hardState: HardState;
  /** Recovered snapshot, when there is one. */
  snapshot: SnapshotMetadata | null;
  /** Recovered entries that follow the snapshot, without gaps. */
  entries: Entry[];
  /** Source of random numbers in [0, 1). */
  random: () => number;
  /** Monotonic clock in milliseconds. */
  now: number;
  /** Differences from {@link DEFAULT_SETTINGS}. */
  settings?: Partial<Settings>;
};
