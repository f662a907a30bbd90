/**
 * Messages by which entry hosts and the leader exchange leased shares of the
 * fleet's limits: tokens of a workspace and concurrent requests of a backend
 * server. The mechanism is described in docs/design/shares.md.
 *
 * A report carries a number that grows with each report of one holder; the
 * grant that answers it repeats that number. A holder applies at most one grant
 * for a report, and only while no later report mentioned the same pool.
 *
 * @module
 */

import * as v from "valibot";

/** Most pools or servers that one exchange may mention. */
export const MAX_SHARES_PER_EXCHANGE = 4096;

const MAX_NAME_CHARACTERS = 256;

const Name = v.pipe(v.string(), v.nonEmpty(), v.maxLength(MAX_NAME_CHARACTERS));
const Count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const Quantity = v.pipe(v.number(), v.finite(), v.minValue(0));

/** Identifies the grant that a holder's share rests on. */
export const GrantId = v.object({
  /** Term of the leader that granted. */
  term: Count,
  /** Number of the exchange that the grant answered. */
  exchange: Count,
});

/** Identifies the grant that a holder's share rests on. */
export type GrantId = v.InferOutput<typeof GrantId>;

/** Requests of one workspace that wait for tokens at one host. */
export const TokenDemand = v.object({
  /** Tokens wanted by all waiting requests together. */
  tokens: Quantity,
  /** Tokens wanted by the request that has waited longest. */
  head: Quantity,
  /** How long that request has waited, in milliseconds. */
  headAgeMs: Quantity,
});

/** Requests of one workspace that wait for tokens at one host. */
export type TokenDemand = v.InferOutput<typeof TokenDemand>;

/** A holder's share of a token bucket as it stands when the report is sent. */
export const BucketReport = v.object({
  pool: Name,
  /** The grant in force; absent when the holder has no live share. */
  grant: v.optional(GrantId),
  /** Refill rate in force, in tokens per second. */
  rate: Quantity,
  /** Capacity in force, in tokens. */
  capacity: Quantity,
  /** Tokens held, reserved ones included; below zero after an overdraft. */
  balance: v.pipe(v.number(), v.finite()),
  /** Tokens reserved by requests that have not been settled. */
  reserved: Quantity,
  /** Tokens given back since the share began, a running total. */
  surrendered: Quantity,
  /** Recent consumption, in tokens per second. */
  usage: Quantity,
  demand: TokenDemand,
});

/** A holder's share of a token bucket as it stands when the report is sent. */
export type BucketReport = v.InferOutput<typeof BucketReport>;

/** Running totals of how a holder's requests to one backend server ended. */
export const ServerOutcomes = v.object({
  /** Requests that were answered in good time. */
  succeeded: Count,
  /** Requests that the server refused for lack of capacity. */
  refused: Count,
  /** Requests that ended in a reset, a timeout or a server error. */
  failed: Count,
  /** Requests that were answered, but slowly. */
  slow: Count,
});

/** Running totals of how a holder's requests to one backend server ended. */
export type ServerOutcomes = v.InferOutput<typeof ServerOutcomes>;

/** A holder's share of a backend server's slots when the report is sent. */
export const SlotReport = v.object({
  server: Name,
  /** The grant in force; absent when the holder has no live share. */
  grant: v.optional(GrantId),
  /** Slots in force: requests that may run at once. */
  slots: Count,
  /** Requests that run now. */
  running: Count,
  /** Longest time that any request may still run, in milliseconds. */
  horizonMs: Quantity,
  /** Most requests that ran at once in recent seconds. */
  peak: Count,
  /** Requests that wait for a slot of this server. */
  waiting: Count,
  /** How long the oldest of them has waited, in milliseconds. */
  waitingMs: Quantity,
  /** Requests that a load under way on this server will let begin. */
  expected: v.optional(Count),
  outcomes: ServerOutcomes,
});

/** A holder's share of a backend server's slots when the report is sent. */
export type SlotReport = v.InferOutput<typeof SlotReport>;

/** What an entry host tells the leader in one exchange. */
export const ShareReport = v.object({
  /** The holder's identity, new with each start of its process. */
  holder: Name,
  /** Number of this exchange, growing with each report of the holder. */
  exchange: Count,
  buckets: v.pipe(
    v.array(BucketReport),
    v.maxLength(MAX_SHARES_PER_EXCHANGE),
  ),
  slots: v.pipe(v.array(SlotReport), v.maxLength(MAX_SHARES_PER_EXCHANGE)),
});

/** What an entry host tells the leader in one exchange. */
export type ShareReport = v.InferOutput<typeof ShareReport>;

/** A share of a token bucket, as the leader grants it. */
export const BucketGrant = v.object({
  pool: Name,
  /** Grant that this one continues; absent when it starts a new share. */
  continues: v.optional(GrantId),
  /** Refill rate, in tokens per second. */
  rate: Quantity,
  /** Capacity, in tokens. */
  capacity: Quantity,
  /** Tokens added to the balance once, when the grant is applied. */
  level: Quantity,
  /** Burst of the whole pool, in tokens: no request can reserve more. */
  burst: Quantity,
  lifetimeMs: Quantity,
});

/** A share of a token bucket, as the leader grants it. */
export type BucketGrant = v.InferOutput<typeof BucketGrant>;

/** A share of a backend server's slots, as the leader grants it. */
export const SlotGrant = v.object({
  server: Name,
  /** Grant that this one continues; absent when it starts a new share. */
  continues: v.optional(GrantId),
  slots: Count,
  lifetimeMs: Quantity,
  /** What the server itself last said of its load; absent if unknown. */
  observed: v.optional(v.object({
    /** Requests that the server runs. */
    running: Count,
    /** Age of what it said, in milliseconds. */
    ageMs: Quantity,
  })),
});

/** A share of a backend server's slots, as the leader grants it. */
export type SlotGrant = v.InferOutput<typeof SlotGrant>;

/** The leader's answer to one report. */
export const ShareGrant = v.object({
  /** Term of the leader. */
  term: Count,
  /** Number of the exchange that this answers. */
  exchange: Count,
  buckets: v.pipe(v.array(BucketGrant), v.maxLength(MAX_SHARES_PER_EXCHANGE)),
  slots: v.pipe(v.array(SlotGrant), v.maxLength(MAX_SHARES_PER_EXCHANGE)),
});

/** The leader's answer to one report. */
export type ShareGrant = v.InferOutput<typeof ShareGrant>;
