/**
 * Messages for leasing shares of fleet-wide limits from the leader to entry
 * hosts: tokens of a workspace, and concurrent requests of a backend server.
 * See docs/design/shares.md for the mechanism.
 *
 * Each report has an exchange number that increases with every report of a
 * holder; the grant sent in response repeats the number. A holder applies at
 * most one grant per report, and only if no later report included the pool.
 *
 * @module
 */

import * as v from "valibot";

/** Maximum number of pools or servers in one exchange. */
export const MAX_SHARES_PER_EXCHANGE = 4096;

const MAX_NAME_LENGTH = 256;

const Name = v.pipe(v.string(), v.nonEmpty(), v.maxLength(MAX_NAME_LENGTH));
const Count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const Quantity = v.pipe(v.number(), v.finite(), v.minValue(0));

/** Identifies the grant on which a holder's share is based. */
export const GrantId = v.object({
  /** Term of the leader that issued the grant. */
  term: Count,
  /** Number of the exchange in which the grant was issued. */
  exchange: Count,
});

/** Identifies the grant on which a holder's share is based. */
export type GrantId = v.InferOutput<typeof GrantId>;

/** Token demand of the waiting requests of one workspace on one host. */
export const TokenDemand = v.object({
  /** Tokens needed by all waiting requests together. */
  tokens: Quantity,
  /** Tokens needed by the request that has waited longest. */
  head: Quantity,
  /** Time that this request has waited, in milliseconds. */
  headAgeMs: Quantity,
});

/** Token demand of the waiting requests of one workspace on one host. */
export type TokenDemand = v.InferOutput<typeof TokenDemand>;

/** State of a holder's share of a token bucket when the report is sent. */
export const BucketReport = v.object({
  pool: Name,
  /** The active grant; omitted if the holder has no valid share. */
  grant: v.optional(GrantId),
  /** Current refill rate, in tokens per second. */
  rate: Quantity,
  /** Current capacity, in tokens. */
  capacity: Quantity,
  /** Available and reserved tokens; negative after an overdraft. */
  balance: v.pipe(v.number(), v.finite()),
  /** Tokens reserved by requests whose consumption is not settled yet. */
  reserved: Quantity,
  /** Cumulative number of tokens returned since the share started. */
  surrendered: Quantity,
  /** Recent consumption, in tokens per second. */
  usage: Quantity,
  demand: TokenDemand,
});

/** State of a holder's share of a token bucket when the report is sent. */
export type BucketReport = v.InferOutput<typeof BucketReport>;

/** Cumulative outcomes of a holder's requests to one backend server. */
export const ServerOutcomes = v.object({
  /** Requests that completed at normal speed. */
  succeeded: Count,
  /** Requests that the server rejected for lack of capacity. */
  refused: Count,
  /** Requests that failed with a reset, a timeout or a server error. */
  failed: Count,
  /** Requests that completed slowly. */
  slow: Count,
});

/** Cumulative outcomes of a holder's requests to one backend server. */
export type ServerOutcomes = v.InferOutput<typeof ServerOutcomes>;

/** State of a holder's share of a backend server's slots. */
export const SlotReport = v.object({
  server: Name,
  /** The active grant; omitted if the holder has no valid share. */
  grant: v.optional(GrantId),
  /** Current number of slots: requests that may run concurrently. */
  slots: Count,
  /** Requests that are running. */
  running: Count,
  /** Upper bound on the remaining run time of any request, in milliseconds. */
  horizonMs: Quantity,
  /** Peak number of concurrent requests in the last seconds. */
  peak: Count,
  /** Requests that wait for a slot of the server. */
  waiting: Count,
  /** Time that the oldest of them has waited, in milliseconds. */
  waitingMs: Quantity,
  /** Requests that can start once a model load on the server completes. */
  expected: v.optional(Count),
  outcomes: ServerOutcomes,
});

/** State of a holder's share of a backend server's slots. */
export type SlotReport = v.InferOutput<typeof SlotReport>;

/** Report of an entry host to the leader in one exchange. */
export const ShareReport = v.object({
  /** ID of the holder, which changes each time its process starts. */
  holder: Name,
  /** Number of the exchange, which increases with each report of the holder. */
  exchange: Count,
  buckets: v.pipe(
    v.array(BucketReport),
    v.maxLength(MAX_SHARES_PER_EXCHANGE),
  ),
  slots: v.pipe(v.array(SlotReport), v.maxLength(MAX_SHARES_PER_EXCHANGE)),
});

/** Report of an entry host to the leader in one exchange. */
export type ShareReport = v.InferOutput<typeof ShareReport>;

/** A share of a token bucket that the leader grants to a holder. */
export const BucketGrant = v.object({
  pool: Name,
  /** Grant that this one renews; omitted for a new share. */
  continues: v.optional(GrantId),
  /** Refill rate, in tokens per second. */
  rate: Quantity,
  /** Capacity, in tokens. */
  capacity: Quantity,
  /** Tokens added to the balance once, when the grant is applied. */
  level: Quantity,
  /** Burst of the whole pool, in tokens; no request can reserve more. */
  burst: Quantity,
  lifetimeMs: Quantity,
});

/** A share of a token bucket that the leader grants to a holder. */
export type BucketGrant = v.InferOutput<typeof BucketGrant>;

/** A share of a backend server's slots that the leader grants to a holder. */
export const SlotGrant = v.object({
  server: Name,
  /** Grant that this one renews; omitted for a new share. */
  continues: v.optional(GrantId),
  slots: Count,
  lifetimeMs: Quantity,
  /** Load that the server last announced; omitted if unknown. */
  observed: v.optional(v.object({
    /** Requests running on the server. */
    running: Count,
    /** Age of the announcement, in milliseconds. */
    ageMs: Quantity,
  })),
});

/** A share of a backend server's slots that the leader grants to a holder. */
export type SlotGrant = v.InferOutput<typeof SlotGrant>;

/** Response of the leader to a report. */
export const ShareGrant = v.object({
  /** Term of the leader. */
  term: Count,
  /** Number of the exchange that this grant responds to. */
  exchange: Count,
  buckets: v.pipe(v.array(BucketGrant), v.maxLength(MAX_SHARES_PER_EXCHANGE)),
  slots: v.pipe(v.array(SlotGrant), v.maxLength(MAX_SHARES_PER_EXCHANGE)),
});

/** Response of the leader to a report. */
export type ShareGrant = v.InferOutput<typeof ShareGrant>;
