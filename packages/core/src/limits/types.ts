/**
 * Types and time limits of leased shares.
 *
 * @module
 */

import type * as protocol from "@ebonypath/protocol";

/** How long a share lives after the leader granted it, in milliseconds. */
export const SHARE_LIFETIME_MS = 3000;

/** How often a holder renews its shares. */
export const SHARE_RENEWAL_MS = 1000;

/** How often a holder reports a share for which requests wait. */
export const URGENT_RENEWAL_MS = 50;

/** How long a holder waits for the answer to a report before the next one. */
export const EXCHANGE_TIMEOUT_MS = 500;

/** Most pools, and most servers, that one host or leader keeps. */
export const MAX_POOLS = 4096;

/** Longest that a request may run on a backend server, in milliseconds. */
export const MAX_REQUEST_MS = 600_000;

/** Age at which a server's report of its load may still be out of date. */
export const MAX_LOAD_REPORT_LAG_MS = 2000;

/**
 * Longest that a request keeps its slot after its host has given it up, in
 * milliseconds. Until then the server may say that it runs fewer.
 */
export const ABANDONED_SLOT_HOLD_MS = 60_000;

/** Largest deviation of a host's clock from true time, as a fraction. */
export const CLOCK_DRIFT = 0.01;

/**
 * Part of a granted lifetime that a holder uses. A holder whose clock is slow
 * by `CLOCK_DRIFT` then still ends before a leader whose clock is fast by it.
 */
export const HOLDER_LIFETIME_FRACTION = 0.98;

/** Part of a rate at which buckets refill, so that a fast clock keeps it. */
export const REFILL_FRACTION = 1 - CLOCK_DRIFT;

/** Tokens below which amounts count as equal, against rounding. */
export const ROUNDING_TOKENS = 1e-6;

/** Rate and burst of a workspace's token bucket. */
export type BucketLimit = {
  /** Tokens per second. */
  readonly rate: number;
  /** Tokens. */
  readonly burst: number;
};

/** Tokens set aside for one request until it is settled. */
export type Reservation = {
  readonly pool: string;
  /** Tokens reserved. */
  readonly tokens: number;
};

/** What came of an attempt to reserve tokens. */
export type ReserveResult =
  | { readonly kind: "reserved"; readonly reservation: Reservation }
  /** The share lacks tokens now; the request may wait for more. */
  | { readonly kind: "wait" }
  /** No share can ever hold so many tokens. */
  | { readonly kind: "over-burst"; readonly burst: number };

/** One running request's claim on a backend server. */
export type Slot = {
  readonly server: string;
  /** When the request must have ended, in the holder's monotonic clock. */
  readonly deadline: number;
};

/** What came of an attempt to take a slot. */
export type AcquireResult =
  | { readonly kind: "acquired"; readonly slot: Slot }
  /** No slot is free in the share; the request may wait for one. */
  | { readonly kind: "wait" };

/** How a request to a backend server ended, as the ramp-up judges it. */
export type SlotOutcome =
  | "succeeded"
  | "refused"
  | "failed"
  | "slow"
  /** Says nothing about the server, as when the caller went away. */
  | "neutral";

/** What entry hosts observed of one backend server since the last look. */
export type ObservedOutcomes = {
  readonly server: string;
  readonly outcomes: protocol.limits.ServerOutcomes;
  /** Most requests that ran at once in recent seconds. */
  readonly running: number;
  /** Slots that hosts hold from an earlier leader. */
  readonly inherited: number;
};
