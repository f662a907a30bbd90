/**
 * Inputs, effects, settings and options of a replica.
 *
 * @module
 */

import type { replication } from "@ebonypath/protocol";

/** Entry of the replicated log. */
export type Entry = replication.Entry;
/** Content of a log entry. */
export type Payload = replication.Payload;
/** Member of the replication group. */
export type Member = replication.Member;
/** The voters and learners of a group. */
export type Membership = replication.Membership;
/** Current term and vote. */
export type HardState = replication.HardState;
/** Position, membership and size of a snapshot. */
export type SnapshotMetadata = replication.SnapshotMetadata;
/** Message between two replicas. */
export type Message = replication.Message;

/** Current Raft role of a replica. */
export type Role = "follower" | "preCandidate" | "candidate" | "leader";

/**
 * A command to append. The caller chooses the id, which is returned with the
 * outcome.
 */
export type Proposal = { id: number; data: string };

/** A change of a single member. */
export type MembershipChange =
  | { kind: "addLearner"; member: Member }
  | { kind: "promote"; id: string }
  | { kind: "remove"; id: string };

/**
 * A membership change and an optional command (`note`) that is applied when the
 * change commits.
 */
export type MembershipChangeRequest = MembershipChange & { note?: string };

/** Input that the owner of a replica passes to it. */
export type Input =
  | { kind: "tick" }
  | { kind: "message"; from: string; message: Message }
  | { kind: "propose"; proposals: Proposal[] }
  | { kind: "persisted"; sequence: number }
  | { kind: "diskSpace"; hasSpace: boolean }
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

/**
 * Why a proposal or membership change was refused. Nothing was appended to the
 * log.
 */
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

/** Outcome of a proposal or membership change. */
export type Outcome =
  | { kind: "appended"; id: number; index: number; term: number }
  | {
    kind: "refused";
    id: number;
    reason: RefusalReason;
    leader: string | null;
  };

/**
 * Action that the owner of a replica has to carry out, in the given order.
 *
 * Once a `persist` or `installSnapshot` is synced to disk, the owner answers
 * with a `persisted` input that carries its sequence number. Both take effect
 * in order, and one answer may acknowledge several of them. `apply` holds
 * entries that are committed and synced locally. While the disk is full, the
 * answers wait; the owner tells so with a `diskSpace` input.
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

/** Limits and timeouts of a replica. */
export type Settings = {
  /** Interval between the leader's heartbeats. */
  heartbeatMs: number;
  /**
   * Minimum election timeout; also how long a voter refuses to vote for others
   * after it last heard from a leader.
   */
  electionTimeoutMinimumMs: number;
  /** Maximum election timeout. */
  electionTimeoutMaximumMs: number;
  /** Minimum interval between the probes for a leader that follow a start. */
  probeMinimumMs: number;
  /** Maximum interval between the probes for a leader that follow a start. */
  probeMaximumMs: number;
  /**
   * Fraction of the minimum election timeout by which a lease is shorter than
   * it.
   */
  leaseMargin: number;
  /** Maximum payload bytes in one append message. */
  maxAppendBytes: number;
  /** Maximum entries in one append message. */
  maxAppendEntries: number;
  /** Maximum unacknowledged append messages to one follower. */
  maxInflightAppends: number;
  /** Maximum characters in one proposal, which has to fit into one message. */
  maxProposalCharacters: number;
  /** Maximum uncommitted entries at the leader. */
  maxUncommittedEntries: number;
  /** Maximum uncommitted payload bytes at the leader. */
  maxUncommittedBytes: number;
  /** Bytes in one part of a snapshot. */
  snapshotPartBytes: number;
  /** Maximum size of a snapshot that a follower accepts, in bytes. */
  maxSnapshotBytes: number;
  /** Time after which an unacknowledged part of a snapshot is sent again. */
  snapshotRetryMs: number;
  /**
   * Entries covered by the snapshot that stay in memory for followers that lag
   * slightly.
   */
  retainedEntries: number;
  /** Maximum payload bytes of these entries. */
  retainedBytes: number;
  /**
   * Maximum number of entries by which a learner may lag when it is promoted to
   * voter.
   */
  maxPromotionLagEntries: number;
};

/** Default {@link Settings}. */
export const DEFAULT_SETTINGS: Readonly<Settings> = Object.freeze({
  heartbeatMs: 100,
  electionTimeoutMinimumMs: 600,
  electionTimeoutMaximumMs: 1200,
  // The range spans several round trips, so that few of five voters probe at
  // the same time.
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
  // A follower that lags by more gets the snapshot.
  retainedBytes: 8 * 1024 * 1024,
  maxPromotionLagEntries: 64,
});

/**
 * Initial state of a replica: the content of its disk, its clock and its random
 * source.
 */
export type Options = {
  /** Id of this replica. */
  self: string;
  /** Recovered term and vote. */
  hardState: HardState;
  /** Recovered snapshot, if there is one. */
  snapshot: SnapshotMetadata | null;
  /** Recovered entries that follow the snapshot, without gaps. */
  entries: Entry[];
  /** Source of random numbers in [0, 1). */
  random: () => number;
  /** Monotonic clock in milliseconds. */
  now: number;
  /** Overrides of {@link DEFAULT_SETTINGS}. */
  settings?: Partial<Settings>;
};
