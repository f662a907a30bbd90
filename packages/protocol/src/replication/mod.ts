/**
 * Messages and entries of the replicated log.
 *
 * The same types are used on the wire between members, in the write-ahead log
 * and by the replication module of the core.
 *
 * @module
 */

import * as v from "valibot";

const MAX_ID_LENGTH = 128;
const MAX_ADDRESS_LENGTH = 512;
const MAX_MEMBERS = 32;
const MAX_MESSAGES_PER_REQUEST = 1024;

const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const memberId = v.pipe(
  v.string(),
  v.minLength(1),
  v.maxLength(MAX_ID_LENGTH),
);

/** Schema of {@link Member}. */
export const memberSchema = v.object({
  id: memberId,
  address: v.pipe(v.string(), v.maxLength(MAX_ADDRESS_LENGTH)),
});

/** A member. Its ID identifies one data directory and is never reused. */
export type Member = v.InferOutput<typeof memberSchema>;

const memberList = v.pipe(
  v.array(memberSchema),
  v.maxLength(MAX_MEMBERS),
);

/** Schema of {@link Membership}. */
export const membershipSchema = v.object({
  voters: memberList,
  learners: memberList,
});

/** The members that vote, and those that only receive the log. */
export type Membership = v.InferOutput<typeof membershipSchema>;

/** Schema of {@link Payload}. */
export const payloadSchema = v.variant("kind", [
  v.object({ kind: v.literal("noop") }),
  v.object({ kind: v.literal("command"), data: v.string() }),
  v.object({
    kind: v.literal("membership"),
    membership: membershipSchema,
    /** Command applied atomically with the membership change. */
    note: v.optional(v.string()),
  }),
]);

/** Content of a log entry. */
export type Payload = v.InferOutput<typeof payloadSchema>;

/** Schema of {@link Entry}. */
export const entrySchema = v.object({
  index: count,
  term: count,
  payload: payloadSchema,
});

/** An entry of the replicated log. Indexes start at 1. */
export type Entry = v.InferOutput<typeof entrySchema>;

/** Schema of {@link HardState}. */
export const hardStateSchema = v.object({
  term: count,
  vote: v.nullable(memberId),
});

/** Term and vote, synced to disk before any reply that depends on them. */
export type HardState = v.InferOutput<typeof hardStateSchema>;

/** Schema of {@link SnapshotMetadata}. */
export const snapshotMetadataSchema = v.object({
  index: count,
  term: count,
  membership: membershipSchema,
  bytes: count,
});

/** Last entry and membership that a snapshot covers, and its size in bytes. */
export type SnapshotMetadata = v.InferOutput<typeof snapshotMetadataSchema>;

/** Schema of {@link Message}. */
export const messageSchema = v.variant("kind", [
  v.object({
    kind: v.literal("preVote"),
    term: count,
    lastIndex: count,
    lastTerm: count,
  }),
  v.object({
    kind: v.literal("preVoteReply"),
    term: count,
    requestTerm: count,
    granted: v.boolean(),
    /** Whether the sender is neither leader nor candidate in its term. */
    isFree: v.optional(v.boolean(), false),
    /** Whether the requester's log is as up to date as the sender's, or more. */
    isUpToDate: v.optional(v.boolean(), false),
  }),
  v.object({
    kind: v.literal("vote"),
    term: count,
    lastIndex: count,
    lastTerm: count,
    transfer: v.boolean(),
  }),
  v.object({
    kind: v.literal("voteReply"),
    term: count,
    granted: v.boolean(),
  }),
  v.object({
    kind: v.literal("append"),
    term: count,
    previousIndex: count,
    previousTerm: count,
    entries: v.array(entrySchema),
    commitIndex: count,
    sentAt: v.number(),
  }),
  v.object({
    kind: v.literal("appendReply"),
    term: count,
    success: v.boolean(),
    previousIndex: count,
    matchIndex: count,
    sentAt: v.number(),
  }),
  v.object({
    kind: v.literal("heartbeat"),
    term: count,
    sentAt: v.number(),
  }),
  v.object({
    kind: v.literal("heartbeatReply"),
    term: count,
    sentAt: v.number(),
  }),
  v.object({
    kind: v.literal("snapshotPart"),
    term: count,
    snapshot: snapshotMetadataSchema,
    offset: count,
    data: v.string(),
    sentAt: v.number(),
  }),
  v.object({
    kind: v.literal("snapshotReply"),
    term: count,
    index: count,
    offset: count,
    sentAt: v.number(),
  }),
  v.object({ kind: v.literal("timeoutNow"), term: count }),
]);

/**
 * A message between two members.
 *
 * `sentAt` is the leader's monotonic clock in milliseconds. Followers return it
 * unchanged, so the leader knows when it started the round that a reply belongs
 * to. In a rejected append, `matchIndex` is the index after which the leader
 * should continue.
 */
export type Message = v.InferOutput<typeof messageSchema>;

/** Schema of {@link MessageBatch}. */
export const messageBatchSchema = v.object({
  from: memberSchema,
  to: memberId,
  messages: v.pipe(
    v.array(messageSchema),
    v.maxLength(MAX_MESSAGES_PER_REQUEST),
  ),
});

/** Parameters of the JSON-RPC notification {@link MESSAGES_METHOD}. */
export type MessageBatch = v.InferOutput<typeof messageBatchSchema>;

/** JSON-RPC notification that carries a {@link MessageBatch}. */
export const MESSAGES_METHOD = "replication.messages";

/** JSON-RPC request that asks a control host for the leader. */
export const LEADER_METHOD = "replication.leader";

const address = v.pipe(v.string(), v.maxLength(MAX_ADDRESS_LENGTH));

/** Schema of {@link LeaderRequest}. */
export const leaderRequestSchema = v.object({
  /** Address of a leader that the caller could not use, if any. */
  lost: v.nullable(address),
  /** Longest time that the call is held until another one is known, in ms. */
  waitMs: v.pipe(v.number(), v.finite(), v.minValue(0)),
});

/** Parameters of the JSON-RPC request {@link LEADER_METHOD}. */
export type LeaderRequest = v.InferOutput<typeof leaderRequestSchema>;

/** Schema of {@link LeaderResponse}. */
export const leaderResponseSchema = v.object({
  /** Address of the leader; null if none is known. */
  leader: v.nullable(address),
});

/** Result of the JSON-RPC request {@link LEADER_METHOD}. */
export type LeaderResponse = v.InferOutput<typeof leaderResponseSchema>;

/** JSON-RPC request that returns an {@link Identity}. */
export const IDENTITY_METHOD = "replication.identity";

/** Schema of {@link Identity}. */
export const identitySchema = v.object({
  member: memberSchema,
  empty: v.boolean(),
  formation: v.nullable(membershipSchema),
});

/**
 * Identity of the member at an address, whether its disk is empty, and the
 * membership with which its group was formed, if it still has it.
 */
export type Identity = v.InferOutput<typeof identitySchema>;
