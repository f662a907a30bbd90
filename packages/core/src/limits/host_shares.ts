/**
 * All shares of one entry host.
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

/** Time after which a new leader withholds nothing more, in milliseconds. */
const SETTLING_MS = SHARE_LIFETIME_MS + 1_000;
/** Time for which an answer of the leader is recent, in milliseconds. */
const ANSWER_LIFETIME_MS = 1_500;

/** Pools and servers whose shares an accepted grant changed. */
export type UpdatedShares = {
  readonly pools: readonly string[];
  readonly servers: readonly string[];
};

/**
 * The shares of one entry host, and the reports by which it renews them.
 *
 * Every clock value is the host's monotonic clock in milliseconds. A report is
 * to be sent once: after a lost answer, or for another leader, a new one is
 * made.
 *
 * @example
 * ```ts
 * const holder = new HostShares("entry-1/7f3a");
 * holder.setWaitingTokens("shop", { tokens: 300, head: 300, since: now });
 * const report = holder.report(now);
 * if (report !== undefined) {
 *   holder.accept(await exchangeWithLeader(report), clock.now());
 * }
 * const result = holder.reserve("shop", 300, clock.now());
 * ```
 */
export class HostShares {
  readonly #holder: string;
  readonly #buckets = new Map<string, BucketShare>();
  readonly #slots = new Map<string, SlotShare>();
  #exchange = 0;
  /** The leader that answered last, and when its first answer came. */
  #leader: { readonly term: number; readonly since: number } | undefined;
  #answeredAt = -Infinity;

  /** @param holder Identity of this process, new with each start. */
  constructor(holder: string) {
    this.#holder = holder;
  }

  /** Tokens that requests of `pool` can reserve now. */
  availableTokens(pool: string, now: number): number {
    return this.#buckets.get(pool)?.available(now) ?? 0;
  }

  /** The live share of a pool; zero if there is none. */
  tokenShare(pool: string, now: number): ShareSize {
    return this.#buckets.get(pool)?.amount(now) ?? { capacity: 0, rate: 0 };
  }

  /**
   * Whether the shares tell what can be had. A new leader withholds what it
   * does not know to be free, and nothing moves while its answers are late.
   */
  isConverged(now: number): boolean {
    if (this.#leader === undefined) return false;
    return now - this.#leader.since >= SETTLING_MS &&
      now - this.#answeredAt <= ANSWER_LIFETIME_MS;
  }

  /** Requests that can be started on `server` now. */
  availableSlots(server: string, now: number): number {
    return this.#slots.get(server)?.available(now) ?? 0;
  }

  /** Requests of this host that run on `server`. */
  runningOn(server: string): number {
    return this.#slots.get(server)?.running ?? 0;
  }

  /**
   * Sets aside tokens for a request, before it is dispatched. Requests that
   * must wait are made known by `setWaitingTokens`; the caller keeps their
   * order by asking for the one at the head of its queue alone.
   */
  reserve(pool: string, tokens: number, now: number): ReserveResult {
    return this.#buckets.get(pool)?.reserve(tokens, now) ?? { kind: "wait" };
  }

  /** Consumes part of a reservation, as when a stream has brought tokens. */
  consume(reservation: Reservation, tokens: number, now: number): void {
    this.#buckets.get(reservation.pool)?.consume(reservation, tokens, now);
  }

  /**
   * Ends a reservation; what the request did not use becomes available again.
   *
   * @param used Tokens used beyond those already told to `consume`.
   */
  settle(reservation: Reservation, used: number, now: number): void {
    this.#buckets.get(reservation.pool)?.settle(reservation, used, now);
  }

  /** Takes a slot of `server` for a request that ends by `deadline`. */
  acquireSlot(server: string, deadline: number, now: number): AcquireResult {
    return this.#slots.get(server)?.acquire(deadline, now) ?? { kind: "wait" };
  }

  /** Counts a request that still runs as a success of its server. */
  markSucceeded(slot: Slot): void {
    this.#slots.get(slot.server)?.markBorne(slot);
  }

  /** Gives a slot back, with what the request showed of the server. */
  releaseSlot(slot: Slot, outcome: SlotOutcome): void {
    this.#slots.get(slot.server)?.release(slot, outcome);
  }

  /**
   * Ends a request that the server may go on with, unknown to this host: its
   * slot is given back once the server says that it runs fewer requests.
   */
  abandonSlot(slot: Slot, outcome: SlotOutcome, now: number): void {
    this.#slots.get(slot.server)?.giveUp(slot, outcome, now);
  }

  /** Gives the slot of a given-up request back: the server ended it. */
  confirmEnd(slot: Slot): void {
    this.#slots.get(slot.server)?.confirmEnd(slot);
  }

  /** Sets which requests of `pool` wait for tokens; nothing if none does. */
  setWaitingTokens(pool: string, waiting: WaitingTokens | undefined): void {
    if (waiting !== undefined && !this.#buckets.has(pool)) {
      addBounded(this.#buckets, pool, new BucketShare(pool));
    }
    this.#buckets.get(pool)?.setWaiting(waiting);
  }

  /** Sets which requests wait for a slot of `server`; nothing if none does. */
  setWaitingSlots(server: string, waiting: WaitingSlots | undefined): void {
    this.#slotsOf(server, waiting !== undefined)?.setWaiting(waiting);
  }

  /**
   * Sets how many requests will want a slot of `server` once a load under way
   * there is complete.
   */
  setExpectedSlots(server: string, count: number, now: number): void {
    this.#slotsOf(server, count > 0)?.setExpected(count, now);
  }

  /** When the next report is due, or nothing if there is nothing to report. */
  nextReportAt(now: number): number | undefined {
    this.#forgetIdle(now);
    let next: number | undefined;
    for (const share of this.#all()) {
      next = Math.min(share.dueAt(now), next ?? Infinity);
    }
    return next;
  }

  /**
   * Makes the report of all shares that are due, if there are any.
   *
   * @param isRecalled The leader asks for all shares, due or not.
   */
  report(
    now: number,
    isRecalled = false,
  ): protocol.limits.ShareReport | undefined {
    this.#forgetIdle(now);
    const latest = isRecalled ? Infinity : now;
    const buckets = dueOf(this.#buckets, now, latest);
    const slots = dueOf(this.#slots, now, latest);
    if (buckets.length === 0 && slots.length === 0) {
      return undefined;
    }
    const exchange = ++this.#exchange;
    return {
      holder: this.#holder,
      exchange,
      buckets: buckets.map((share) => share.report(exchange, now)),
      slots: slots.map((share) => share.report(exchange, now)),
    };
  }

  /** Applies the answer to a report as far as it is still current. */
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

  /** Gives up all that is not in use; the next report tells the leader. */
  releaseUnused(now: number): void {
    for (const share of this.#all()) {
      share.handOver(now);
    }
  }

  /** The share of a server; one is begun if slots are wanted there. */
  #slotsOf(server: string, areWanted: boolean): SlotShare | undefined {
    if (areWanted && !this.#slots.has(server)) {
      addBounded(this.#slots, server, new SlotShare(server));
    }
    return this.#slots.get(server);
  }

  *#all(): Generator<BucketShare | SlotShare> {
    yield* this.#buckets.values();
    yield* this.#slots.values();
  }

  #forgetIdle(now: number): void {
    for (const shares of [this.#buckets, this.#slots]) {
      for (const [name, share] of shares) {
        if (share.isIdle(now)) {
          shares.delete(name);
        }
      }
    }
  }
}

function dueOf<Share extends BucketShare | SlotShare>(
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
