/**
 * Shared types and time limits of leased shares.
 *
 * @module
 */

import type * as protocol from "@ebonypath/protocol";

/** Lifetime of a share, counted from the leader's grant, in milliseconds. */
export const SHARE_LIFETIME_MS = 3000;

/** Interval at which a host renews its shares, in milliseconds. */
export const SHARE_RENEWAL_MS = 1000;

/**
 * Interval at which a host reports a share that requests are waiting for, in
 * milliseconds.
 */
export const URGENT_RENEWAL_MS = 50;

/**
 * Time that a host waits for the answer to a report before it sends the next
 * one, in milliseconds.
 */
export const EXCHANGE_TIMEOUT_MS = 500;

/**
 * Maximum number of pools, and of backend servers, that one host or leader
 * tracks.
 */
export const MAX_POOLS = 4096;

/** Maximum time that a request may run on a backend server, in milliseconds. */
export const MAX_REQUEST_MS = 600_000;

/**
 * Maximum lag of a server's load report behind its actual load, in
 * milliseconds. A report doesn't prove anything about requests that started or
 * ended within this time before it.
 */
export const MAX_LOAD_REPORT_LAG_MS = 2000;

/**
 * Maximum time that an abandoned request keeps its slot, in milliseconds. The
 * slot is freed earlier if the server reports that it runs fewer requests.
 */
export const ABANDONED_SLOT_HOLD_MS = 60_000;

/** Maximum deviation of a host's clock rate from true time, as a fraction. */
export const CLOCK_DRIFT = 0.01;

/**
 * Fraction of the granted lifetime for which a host uses a share. A host whose
 * clock is slow by `CLOCK_DRIFT` then still stops using it before a leader
 * whose clock is fast by `CLOCK_DRIFT` considers it expired.
 */
export const HOLDER_LIFETIME_FRACTION = 0.98;

/**
 * Fraction of the configured rate at which buckets refill, so that a host with
 * a fast clock doesn't exceed the rate.
 */
export const REFILL_FRACTION = 1 - CLOCK_DRIFT;

/** Tolerance for rounding errors when token amounts are compared. */
export const ROUNDING_TOKENS = 1e-6;

/** Rate and burst of a workspace's token bucket. */
export type BucketLimit = {
  /** Refill rate, in tokens per second. */
  readonly rate: number;
  /** Capacity of the bucket, in tokens. */
  readonly burst: number;
};

/** Tokens reserved for one request until it is settled. */
export type Reservation = {
  readonly pool: string;
  /** Number of reserved tokens. */
  readonly tokens: number;
};

/** Result of an attempt to reserve tokens. */
export type ReserveResult =
  | { readonly kind: "reserved"; readonly reservation: Reservation }
  /** The share currently has too few tokens; the request may wait for more. */
  | { readonly kind: "wait" }
  /** The request needs more tokens than the whole bucket can hold. */
  | { readonly kind: "over-burst"; readonly burst: number };

/** One running request's slot on a backend server. */
export type Slot = {
  readonly server: string;
  /**
   * Time by which the request must have ended, on the host's monotonic clock.
   */
  readonly deadline: number;
};

/** Result of an attempt to acquire a slot. */
export type AcquireResult =
  | { readonly kind: "acquired"; readonly slot: Slot }
  /** The share has no free slot; the request may wait for one. */
  | { readonly kind: "wait" };

/** How a request to a backend server ended, as input to the ramp-up. */
export type SlotOutcome =
  | "succeeded"
  | "refused"
  | "failed"
  | "slow"
  /**
   * Says nothing about the server, for example because the caller disconnected.
   */
  | "neutral";

/**
 * Outcomes that entry hosts observed on one backend server since the last call.
 */
export type ObservedOutcomes = {
  readonly server: string;
  readonly outcomes: protocol.limits.ServerOutcomes;
  /** Peak number of concurrent requests in the last few seconds. */
  readonly running: number;
  /** Slots that hosts hold under grants of an earlier leader. */
  readonly inherited: number;
};
