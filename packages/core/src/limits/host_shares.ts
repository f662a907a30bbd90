/**
 * The shares of one entry host.
 *
 * @module
 */

import type * as protocol from "@ebonypath/protocol";
import { BucketShare, type WaitingTokens } from "./bucket_share.ts";
import type { ShareSize } from "./allocation_table.ts";
import { SlotShare, type WaitingSlots } from "./slot_share.ts";
import {
  type AcquireResult,
  MAX_POOLS,
  type Reservation,
  type ReserveResult,
  SHARE_LIFETIME_MS,
  type Slot,
  type SlotOutcome,
} from "./types.ts";

/**
 * Time after a change of leader by which the new leader no longer withholds
 * anything, in milliseconds.
 */
const CONVERGENCE_MS = SHARE_LIFETIME_MS + 1_000;
/** Maximum age of a recent answer of the leader, in milliseconds. */
const RECENT_ANSWER_MS = 1_500;

/** Pools and servers whose shares were updated by a grant. */
export type UpdatedShares = {
  readonly pools: readonly string[];
  readonly servers: readonly string[];
};

/**
 * The shares of one entry host, and the reports that renew them.
 *
 * All times are readings of the host's monotonic clock, in milliseconds. Each
 * report must be sent only once: after a lost answer, or for another leader,
 * create a new one.
 *
 * @example
 * ```ts
 * const shares = new HostShares("entry-1/7f3a");
 * shares.setWaitingTokens("shop", { tokens: 300, head: 300, since: now });
 * const report = shares.report(now);
 * if (report !== undefined) {
 *   shares.accept(await exchangeWithLeader(report), clock.now());
 * }
 * const result = shares.reserve("shop", 300, clock.now());
 * ```
 */
export class HostShares {
  readonly #holderId: string;
  readonly #buckets = new Map<string, BucketShare>();
  readonly #slots = new Map<string, SlotShare>();
  #lastExchange = 0;
  /** The leader that answered last, and the time of its first answer. */
  #leader: { readonly term: number; readonly since: number } | undefined;
  #answeredAt = -Infinity;

  /** @param holderId Identity of this process; must differ at each start. */
  constructor(holderId: string) {
    this.#holderId = holderId;
  }

  /** Tokens of `pool` that requests can reserve now. */
  availableTokens(pool: string, now: number): number {
    return this.#buckets.get(pool)?.available(now) ?? 0;
  }

  /** The size of the live share of a pool; zero if there is none. */
  tokenShare(pool: string, now: number): ShareSize {
    return this.#buckets.get(pool)?.size(now) ?? { capacity: 0, rate: 0 };
  }

  /**
   * Whether the shares reflect the capacity that is actually obtainable. A new
   * leader withholds capacity until it knows that it is free, and nothing is
   * redistributed while the leader's answers are late.
   */
  isConverged(now: number): boolean {
    if (this.#leader === undefined) return false;
    return now - this.#leader.since >= CONVERGENCE_MS &&
      now - this.#answeredAt <= RECENT_ANSWER_MS;
  }

  /** Number of requests that can be started on `server` now. */
  availableSlots(server: string, now: number): number {
    return this.#slots.get(server)?.available(now) ?? 0;
  }

  /** Number of this host's requests that are running on `server`. */
  runningOn(server: string): number {
    return this.#slots.get(server)?.running ?? 0;
  }

  /**
   * Reserves tokens for a request before it is dispatched. Waiting requests are
   * reported with `setWaitingTokens`; to preserve their order, the caller must
   * only reserve for the one at the head of its queue.
   */
  reserve(pool: string, tokens: number, now: number): ReserveResult {
    return this.#buckets.get(pool)?.reserve(tokens, now) ?? { kind: "wait" };
  }

  /**
   * Consumes part of a reservation, for example as a stream delivers tokens.
   */
  consume(reservation: Reservation, tokens: number, now: number): void {
    this.#buckets.get(reservation.pool)?.consume(reservation, tokens, now);
  }

  /**
   * Ends a reservation; unused tokens become available again.
   *
   * @param used Tokens used in addition to those passed to `consume`.
   */
  settle(reservation: Reservation, used: number, now: number): void {
    this.#buckets.get(reservation.pool)?.settle(reservation, used, now);
  }

  /** Acquires a slot of `server` for a request that ends by `deadline`. */
  acquireSlot(server: string, deadline: number, now: number): AcquireResult {
    return this.#slots.get(server)?.acquire(deadline, now) ?? { kind: "wait" };
  }

  /** Counts a request as a success of its server while it is still running. */
  markSucceeded(slot: Slot): void {
    this.#slots.get(slot.server)?.markSucceeded(slot);
  }

  /** Releases a slot and records the outcome of its request. */
  releaseSlot(slot: Slot, outcome: SlotOutcome): void {
    this.#slots.get(slot.server)?.release(slot, outcome);
  }

  /**
   * Ends a request that the server may continue to run, unknown to this host.
   * Its slot is released once the server reports that it runs fewer requests.
   */
  abandonSlot(slot: Slot, outcome: SlotOutcome, now: number): void {
    this.#slots.get(slot.server)?.abandon(slot, outcome, now);
  }

  /** Releases the slot of an abandoned request that the server has ended. */
  confirmEnd(slot: Slot): void {
    this.#slots.get(slot.server)?.confirmEnd(slot);
  }

  /** Sets which requests wait for tokens of `pool`; undefined if none do. */
  setWaitingTokens(pool: string, waiting: WaitingTokens | undefined): void {
    if (waiting !== undefined && !this.#buckets.has(pool)) {
      addBounded(this.#buckets, pool, new BucketShare(pool));
    }
    this.#buckets.get(pool)?.setWaiting(waiting);
  }

  /** Sets which requests wait for a slot of `server`; undefined if none do. */
  setWaitingSlots(server: string, waiting: WaitingSlots | undefined): void {
    this.#slotShareOf(server, waiting !== undefined)?.setWaiting(waiting);
  }

  /**
   * Sets how many requests will need a slot of `server` once a load in progress
   * there is complete.
   */
  setExpectedSlots(server: string, count: number, now: number): void {
    this.#slotShareOf(server, count > 0)?.setExpected(count, now);
  }

  /**
   * Returns when the next report is due; undefined if there is nothing to
   * report.
   */
  nextReportAt(now: number): number | undefined {
    this.#removeIdle(now);
    let next: number | undefined;
    for (const share of this.#shares()) {
      next = Math.min(share.dueAt(now), next ?? Infinity);
    }
    return next;
  }

  /**
   * Creates a report of all shares that are due, if any.
   *
   * @param isRecalled Whether the leader asked for all shares, due or not.
   */
  report(
    now: number,
    isRecalled = false,
  ): protocol.limits.ShareReport | undefined {
    this.#removeIdle(now);
    const latest = isRecalled ? Infinity : now;
    const buckets = dueShares(this.#buckets, now, latest);
    const slots = dueShares(this.#slots, now, latest);
    if (buckets.length === 0 && slots.length === 0) {
      return undefined;
    }
    const exchange = ++this.#lastExchange;
    return {
      holder: this.#holderId,
      exchange,
      buckets: buckets.map((share) => share.report(exchange, now)),
      slots: slots.map((share) => share.report(exchange, now)),
    };
  }

  /** Applies the grants of an answer that are not outdated. */
  accept(
    answer: protocol.limits.ShareGrant,
    now: number,
  ): UpdatedShares {
    if (this.#leader?.term !== answer.term) {
      this.#leader = { term: answer.term, since: now };
    }
    this.#answeredAt = now;
    const id = { term: answer.term, exchange: answer.exchange };
    const pools = answer.buckets
      .filter((grant) => this.#buckets.get(grant.pool)?.accept(grant, id, now))
      .map((grant) => grant.pool);
    const servers = answer.slots
      .filter((grant) => this.#slots.get(grant.server)?.accept(grant, id, now))
      .map((grant) => grant.server);
    return { pools, servers };
  }

  /**
   * Releases everything that is not in use. The leader learns about it from the
   * next report.
   */
  releaseUnused(now: number): void {
    for (const share of this.#shares()) {
      share.releaseUnused(now);
    }
  }

  /** Returns the share of a server, creating it if slots are needed there. */
  #slotShareOf(server: string, isNeeded: boolean): SlotShare | undefined {
    if (isNeeded && !this.#slots.has(server)) {
      addBounded(this.#slots, server, new SlotShare(server));
    }
    return this.#slots.get(server);
  }

  *#shares(): Generator<BucketShare | SlotShare> {
    yield* this.#buckets.values();
    yield* this.#slots.values();
  }

  #removeIdle(now: number): void {
    for (const shares of [this.#buckets, this.#slots]) {
      for (const [name, share] of shares) {
        if (share.isIdle(now)) {
          shares.delete(name);
        }
      }
    }
  }
}

function dueShares<Share extends BucketShare | SlotShare>(
  shares: ReadonlyMap<string, Share>,
  now: number,
  latest: number,
): Share[] {
  return [...shares.values()].filter((share) => share.dueAt(now) <= latest);
}

function addBounded<Share>(
  shares: Map<string, Share>,
  name: string,
  share: Share,
): void {
  if (shares.size < MAX_POOLS) {
    shares.set(name, share);
  }
}
