/**
 * Messages and records of the replicated log.
 *
 * The same shapes are sent between voters, written to the write-ahead log and
 * held by the replication module of the core.
 *
 * @module
 */

import * as v from "valibot";

const MAXIMUM_ID_LENGTH = 128;
const MAXIMUM_ADDRESS_LENGTH = 512;
const MAXIMUM_MEMBERS = 32;
const MAXIMUM_MESSAGES_PER_REQUEST = 1024;

const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const memberId = v.pipe(
  v.string(),
  v.minLength(1),
  v.maxLength(MAXIMUM_ID_LENGTH),
);

/** Schema of {@link Member}. */
export const memberSchema = v.object({
  id: memberId,
  address: v.pipe(v.string(), v.maxLength(MAXIMUM_ADDRESS_LENGTH)),
});

/** One replica. The id belongs to one disk identity and is never reused. */
export type Member = v.InferOutput<typeof memberSchema>;

const memberList = v.pipe(
  v.array(memberSchema),
  v.maxLength(MAXIMUM_MEMBERS),
);

/** Schema of {@link Membership}. */
export const membershipSchema = v.object({
  voters: memberList,
  learners: memberList,
});

/** The replicas that vote and those that only receive the log. */
export type Membership = v.InferOutput<typeof membershipSchema>;

/** Schema of {@link Payload}. */
export const payloadSchema = v.variant("kind", [
  v.object({ kind: v.literal("noop") }),
  v.object({ kind: v.literal("command"), data: v.string() }),
  v.object({
    kind: v.literal("membership"),
    membership: membershipSchema,
    /** A command that is applied with the change, so that both are one. */
    note: v.optional(v.string()),
  }),
]);

/** What one log entry carries. */
export type Payload = v.InferOutput<typeof payloadSchema>;

/** Schema of {@link Entry}. */
export const entrySchema = v.object({
  index: count,
  term: count,
  payload: payloadSchema,
});

/** One entry of the replicated log. Indexes start at 1. */
export type Entry = v.InferOutput<typeof entrySchema>;

/** Schema of {@link HardState}. */
export const hardStateSchema = v.object({
  term: count,
  vote: v.nullable(memberId),
});

/** Term and vote, synced to disk before any answer that relies on them. */
export type HardState = v.InferOutput<typeof hardStateSchema>;

/** Schema of {@link SnapshotMetadata}. */
export const snapshotMetadataSchema = v.object({
  index: count,
  term: count,
  membership: membershipSchema,
  bytes: count,
});

/** What a snapshot covers (up to and with `index`) and its size in bytes. */
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
    /** The sender neither leads nor asks for votes, in its term. */
    isFree: v.optional(v.boolean(), false),
    /** The log of the one who asks is as long as the sender's. */
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
 * A message between two replicas.
 *
 * `sentAt` is the monotonic clock of the leader in milliseconds; a follower
 * returns it unchanged, so that the leader can date the round that a reply
 * answers. In a rejected append `matchIndex` is the index after which the
 * follower asks the leader to try next.
 */
export type Message = v.InferOutput<typeof messageSchema>;

/** Schema of {@link MessageBatch}. */
export const messageBatchSchema = v.object({
  from: memberSchema,
  to: memberId,
  messages: v.pipe(
    v.array(messageSchema),
    v.maxLength(MAXIMUM_MESSAGES_PER_REQUEST),
  ),
});

/** Parameters of the JSON-RPC notification {@link MESSAGES_METHOD}. */
export type MessageBatch = v.InferOutput<typeof messageBatchSchema>;

/** JSON-RPC notification that carries a {@link MessageBatch}. */
export const MESSAGES_METHOD = "replication.messages";

/** JSON-RPC request that answers an {@link Identity}. */
export const IDENTITY_METHOD = "replication.identity";

/** Schema of {@link Identity}. */
export const identitySchema = v.object({
  member: memberSchema,
  empty: v.boolean(),
  formation: v.nullable(membershipSchema),
});

/**
 * Who answers at an address, whether its disk is empty, and the membership with
 * which its group was first formed, when it still knows it.
 */
export type Identity = v.InferOutput<typeof identitySchema>;
