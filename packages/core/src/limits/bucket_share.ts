/**
 * The holder's side of one workspace's token bucket.
 *
 * @module
 */

import type * as protocol from "@ebonypath/protocol";
import {
  HOLDER_LIFETIME_FRACTION,
  REFILL_FRACTION,
  type Reservation,
  type ReserveResult,
  ROUNDING_TOKENS,
} from "./types.ts";
import { continues, Renewal, type Urgency } from "./report_schedule.ts";

/** Time constant of the average that describes recent consumption. */
const USAGE_WINDOW_MS = 2000;

const NO_DEMAND: protocol.limits.TokenDemand = {
  tokens: 0,
  head: 0,
  headAgeMs: 0,
};

/** Requests of one workspace that wait at this host. */
export type WaitingTokens = {
  /** Tokens wanted by all of them together. */
  readonly tokens: number;
  /** Tokens wanted by the one that has waited longest. */
  readonly head: number;
  /** When that one began to wait. */
  readonly since: number;
};

type Lease = {
  readonly grant: protocol.limits.GrantId;
  readonly capacity: number;
  readonly rate: number;
  readonly expiresAt: number;
};

type OpenReservation = {
  /** The share that the reservation was taken from. */
  readonly generation: number;
  reserved: number;
};

/**
 * One host's share of a token bucket.
 *
 * The balance holds the tokens that may be consumed, reserved ones included.
 * It refills up to the capacity, falls when tokens are consumed, and keeps what
 * a settled request did not use. What is reserved thus fills the bucket until
 * it is settled, and consumption over any time stays within the capacity at its
 * start plus what was refilled or granted.
 *
 * When the share expires, open reservations count as consumed at that moment.
 */
export class BucketShare {
  readonly #pool: string;
  readonly #open = new Map<Reservation, OpenReservation>();
  #lease: Lease | undefined;
  #generation = 0;
  #balance = 0;
  #reserved = 0;
  #surrendered = 0;
  #burst: number | undefined;
  #refilledAt = 0;
  #usage = 0;
  #usageAt = 0;
  #waiting: WaitingTokens | undefined;
  #surrenderedInReport = 0;
  #acknowledged = 0;
  #demandInReport = 0;
  readonly #renewal = new Renewal();

  constructor(pool: string) {
    this.#pool = pool;
  }

  /** Tokens that may be reserved now. */
  available(now: number): number {
    this.#advance(now);
    return Math.max(0, this.#balance - this.#reserved);
  }

  /** The share in force, or zero if none is live. */
  amount(now: number): { capacity: number; rate: number } {
    this.#advance(now);
    const rate = this.#lease?.rate ?? 0;
    return { capacity: this.#capacity(), rate };
  }

  /** Whether nothing is held, owed or wanted, so that it can be forgotten. */
  isIdle(now: number): boolean {
    this.#advance(now);
    return this.#capacity() === 0 && this.#open.size === 0 &&
      this.#waiting === undefined &&
      this.#acknowledged === this.#surrendered &&
      !this.#renewal.isOutstanding(now);
  }

  /** When the leader should next hear of this share. */
  dueAt(now: number): number {
    return this.#renewal.dueAt(this.#urgency(now));
  }

  /** Gives up all that is not reserved, as when the host shuts down. */
  handOver(now: number): void {
    this.#advance(now);
    this.#waiting = undefined;
    this.#usage = 0;
    if (this.#lease !== undefined) {
      this.#lease = { ...this.#lease, capacity: 0, rate: 0 };
      this.#surrenderExcess();
    }
  }

  /** Sets which requests wait, for the next report. */
  setWaiting(waiting: WaitingTokens | undefined): void {
    this.#waiting = waiting;
  }

  /** Sets tokens aside for one request. */
  reserve(tokens: number, now: number): ReserveResult {
    this.#advance(now);
    if (this.#burst !== undefined && tokens > this.#burst) {
      return { kind: "over-burst", burst: this.#burst };
    }
    if (this.#lease === undefined) {
      return { kind: "wait" };
    }
    if (this.#balance - this.#reserved + ROUNDING_TOKENS < tokens) {
      return { kind: "wait" };
    }
    const reservation = { pool: this.#pool, tokens };
    this.#open.set(reservation, {
      generation: this.#generation,
      reserved: tokens,
    });
    this.#reserved += tokens;
    this.#recordUsage(tokens, now);
    return { kind: "reserved", reservation };
  }

  /** Consumes part of a reservation, as when a stream has brought tokens. */
  consume(reservation: Reservation, tokens: number, now: number): void {
    this.#advance(now);
    const open = this.#open.get(reservation);
    if (open === undefined) {
      return;
    }
    const fromReserved = Math.min(tokens, open.reserved);
    open.reserved -= fromReserved;
    if (open.generation === this.#generation) {
      this.#reserved -= fromReserved;
      this.#balance -= tokens;
    }
    this.#recordUsage(tokens - fromReserved, now);
  }

  /**
   * Ends a reservation; what was not used becomes available again.
   *
   * @param used Tokens consumed and not yet told to `consume`.
   */
  settle(reservation: Reservation, used: number, now: number): void {
    this.consume(reservation, used, now);
    const open = this.#open.get(reservation);
    if (open === undefined) {
      return;
    }
    this.#open.delete(reservation);
    if (open.generation === this.#generation) {
      this.#reserved -= open.reserved;
    }
    this.#recordUsage(-open.reserved, now);
    this.#surrenderExcess();
  }

  /** Describes the share for the exchange with this number. */
  report(exchange: number, now: number): protocol.limits.BucketReport {
    this.#advance(now);
    this.#renewal.begin(exchange, now);
    this.#surrenderedInReport = this.#surrendered;
    this.#demandInReport = this.#waiting?.tokens ?? 0;
    const lease = this.#lease;
    return {
      pool: this.#pool,
      ...(lease === undefined ? {} : { grant: lease.grant }),
      rate: lease?.rate ?? 0,
      capacity: this.#capacity(),
      balance: this.#balance,
      reserved: this.#reserved,
      surrendered: this.#surrendered,
      usage: Math.max(0, this.#usage / (USAGE_WINDOW_MS / 1000)),
      demand: this.#demand(now),
    };
  }

  /** Applies a grant if it answers the latest report and is not out of date. */
  accept(
    grant: protocol.limits.BucketGrant,
    id: protocol.limits.GrantId,
    now: number,
  ): boolean {
    const reportedAt = this.#renewal.end(id.exchange);
    if (reportedAt === undefined) {
      return false;
    }
    this.#advance(now);
    const expiresAt = reportedAt +
      grant.lifetimeMs * HOLDER_LIFETIME_FRACTION;
    if (now >= expiresAt || !continues(grant, this.#lease?.grant)) {
      return false;
    }
    if (grant.continues === undefined) {
      this.#drop();
    }
    const { capacity, rate } = grant;
    this.#lease = { grant: id, capacity, rate, expiresAt };
    this.#refilledAt = now;
    this.#burst = grant.burst;
    this.#acknowledged = this.#surrenderedInReport;
    this.#balance += grant.level;
    this.#surrenderExcess();
    return true;
  }

  #urgency(now: number): Urgency {
    const wanted = this.#waiting?.tokens ?? 0;
    const isShort = this.available(now) + ROUNDING_TOKENS < wanted;
    if (isShort && wanted > this.#demandInReport) {
      return "at-once";
    }
    return isShort || this.#acknowledged < this.#surrendered
      ? "soon"
      : "renewal";
  }

  /** Reservations may exceed a reduced capacity until they are settled. */
  #capacity(): number {
    return this.#lease === undefined
      ? 0
      : Math.max(this.#lease.capacity, this.#reserved);
  }

  #surrenderExcess(): void {
    const excess = Math.max(0, this.#balance - this.#capacity());
    this.#balance -= excess;
    this.#surrendered += excess;
  }

  #advance(now: number): void {
    const lease = this.#lease;
    if (lease === undefined) {
      return;
    }
    if (now >= lease.expiresAt) {
      this.#drop();
      return;
    }
    const elapsedSeconds = Math.max(0, now - this.#refilledAt) / 1000;
    const refill = lease.rate * REFILL_FRACTION * elapsedSeconds;
    const room = Math.max(0, lease.capacity - this.#balance);
    this.#balance += Math.min(refill, room);
    this.#refilledAt = Math.max(now, this.#refilledAt);
  }

  #drop(): void {
    this.#lease = undefined;
    this.#generation++;
    this.#balance = 0;
    this.#reserved = 0;
    this.#surrendered = 0;
    this.#surrenderedInReport = 0;
    this.#acknowledged = 0;
  }

  #recordUsage(tokens: number, now: number): void {
    const elapsed = Math.max(0, now - this.#usageAt);
    this.#usage *= Math.exp(-elapsed / USAGE_WINDOW_MS);
    this.#usage += tokens;
    this.#usageAt = now;
  }

  #demand(now: number): protocol.limits.TokenDemand {
    this.#recordUsage(0, now);
    const waiting = this.#waiting;
    if (waiting === undefined) {
      return NO_DEMAND;
    }
    const headAgeMs = Math.max(0, now - waiting.since);
    return { tokens: waiting.tokens, head: waiting.head, headAgeMs };
  }
}
