/**
 * The host's side of one workspace's token bucket.
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
import { canApply, ReportSchedule, type Urgency } from "./report_schedule.ts";

/** Time constant of the exponential moving average of recent consumption. */
const USAGE_WINDOW_MS = 2000;

const NO_DEMAND: protocol.limits.TokenDemand = {
  tokens: 0,
  head: 0,
  headAgeMs: 0,
};

/** Requests of one workspace that wait for tokens on this host. */
export type WaitingTokens = {
  /** Tokens needed by all of them together. */
  readonly tokens: number;
  /** Tokens needed by the one that has waited longest. */
  readonly head: number;
  /** Time at which that one started waiting. */
  readonly since: number;
};

type Lease = {
  readonly grant: protocol.limits.GrantId;
  readonly capacity: number;
  readonly rate: number;
  readonly expiresAt: number;
};

type OpenReservation = {
  /** Generation of the share that the tokens were reserved from. */
  readonly generation: number;
  reserved: number;
};

/**
 * One host's share of a token bucket.
 *
 * The balance is the number of tokens that may be consumed, including reserved
 * ones. It refills up to the capacity, decreases as tokens are consumed, and
 * keeps what a settled request did not use. Reserved tokens therefore occupy
 * the bucket until they are settled, and the consumption over any period is
 * limited to the capacity at its start plus what was refilled or granted.
 *
 * When the share expires, open reservations count as consumed at that moment.
 */
export class BucketShare {
  readonly #pool: string;
  readonly #openReservations = new Map<Reservation, OpenReservation>();
  #lease: Lease | undefined;
  #generation = 0;
  #balance = 0;
  #reserved = 0;
  #surrendered = 0;
  #burst: number | undefined;
  #refilledAt = 0;
  #decayedUsage = 0;
  #usageUpdatedAt = 0;
  #waiting: WaitingTokens | undefined;
  #surrenderedInReport = 0;
  #acknowledgedSurrender = 0;
  #demandInReport = 0;
  readonly #schedule = new ReportSchedule();

  constructor(pool: string) {
    this.#pool = pool;
  }

  /** Tokens that can be reserved now. */
  available(now: number): number {
    this.#advance(now);
    return Math.max(0, this.#balance - this.#reserved);
  }

  /** Size of the current share; zero if none is live. */
  size(now: number): { capacity: number; rate: number } {
    this.#advance(now);
    const rate = this.#lease?.rate ?? 0;
    return { capacity: this.#capacity(), rate };
  }

  /**
   * Whether nothing is held, unacknowledged or in demand, so that the share can
   * be removed.
   */
  isIdle(now: number): boolean {
    this.#advance(now);
    return this.#capacity() === 0 && this.#openReservations.size === 0 &&
      this.#waiting === undefined &&
      this.#acknowledgedSurrender === this.#surrendered &&
      !this.#schedule.isOutstanding(now);
  }

  /** When the share should be reported to the leader next. */
  dueAt(now: number): number {
    return this.#schedule.dueAt(this.#urgency(now));
  }

  /**
   * Releases all tokens that are not reserved, for example when the host shuts
   * down.
   */
  releaseUnused(now: number): void {
    this.#advance(now);
    this.#waiting = undefined;
    this.#decayedUsage = 0;
    if (this.#lease !== undefined) {
      this.#lease = { ...this.#lease, capacity: 0, rate: 0 };
      this.#surrenderExcess();
    }
  }

  /** Sets which requests wait for tokens, for the next report. */
  setWaiting(waiting: WaitingTokens | undefined): void {
    this.#waiting = waiting;
  }

  /** Reserves tokens for one request. */
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
    this.#openReservations.set(reservation, {
      generation: this.#generation,
      reserved: tokens,
    });
    this.#reserved += tokens;
    this.#recordUsage(tokens, now);
    return { kind: "reserved", reservation };
  }

  /**
   * Consumes part of a reservation, for example as a stream delivers tokens.
   */
  consume(reservation: Reservation, tokens: number, now: number): void {
    this.#advance(now);
    const open = this.#openReservations.get(reservation);
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
   * Ends a reservation; unused tokens become available again.
   *
   * @param used Tokens consumed in addition to those passed to `consume`.
   */
  settle(reservation: Reservation, used: number, now: number): void {
    this.consume(reservation, used, now);
    const open = this.#openReservations.get(reservation);
    if (open === undefined) {
      return;
    }
    this.#openReservations.delete(reservation);
    if (open.generation === this.#generation) {
      this.#reserved -= open.reserved;
    }
    this.#recordUsage(-open.reserved, now);
    this.#surrenderExcess();
  }

  /** Describes the share for the exchange with this number. */
  report(exchange: number, now: number): protocol.limits.BucketReport {
    this.#advance(now);
    this.#schedule.begin(exchange, now);
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
      usage: Math.max(0, this.#decayedUsage / (USAGE_WINDOW_MS / 1000)),
      demand: this.#demand(now),
    };
  }

  /** Applies a grant if it answers the latest report and is not outdated. */
  accept(
    grant: protocol.limits.BucketGrant,
    id: protocol.limits.GrantId,
    now: number,
  ): boolean {
    const reportedAt = this.#schedule.end(id.exchange);
    if (reportedAt === undefined) {
      return false;
    }
    this.#advance(now);
    const expiresAt = reportedAt +
      grant.lifetimeMs * HOLDER_LIFETIME_FRACTION;
    if (now >= expiresAt || !canApply(grant, this.#lease?.grant)) {
      return false;
    }
    if (grant.continues === undefined) {
      this.#endShare();
    }
    const { capacity, rate } = grant;
    this.#lease = { grant: id, capacity, rate, expiresAt };
    this.#refilledAt = now;
    this.#burst = grant.burst;
    this.#acknowledgedSurrender = this.#surrenderedInReport;
    this.#balance += grant.level;
    this.#surrenderExcess();
    return true;
  }

  #urgency(now: number): Urgency {
    const needed = this.#waiting?.tokens ?? 0;
    const isShort = this.available(now) + ROUNDING_TOKENS < needed;
    if (isShort && needed > this.#demandInReport) {
      return "at-once";
    }
    return isShort || this.#acknowledgedSurrender < this.#surrendered
      ? "soon"
      : "renewal";
  }

  /** Reserved tokens may exceed a reduced capacity until they are settled. */
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
      this.#endShare();
      return;
    }
    const elapsedSeconds = Math.max(0, now - this.#refilledAt) / 1000;
    const refill = lease.rate * REFILL_FRACTION * elapsedSeconds;
    const room = Math.max(0, lease.capacity - this.#balance);
    this.#balance += Math.min(refill, room);
    this.#refilledAt = Math.max(now, this.#refilledAt);
  }

  #endShare(): void {
    this.#lease = undefined;
    this.#generation++;
    this.#balance = 0;
    this.#reserved = 0;
    this.#surrendered = 0;
    this.#surrenderedInReport = 0;
    this.#acknowledgedSurrender = 0;
  }

  #recordUsage(tokens: number, now: number): void {
    const elapsed = Math.max(0, now - this.#usageUpdatedAt);
    this.#decayedUsage *= Math.exp(-elapsed / USAGE_WINDOW_MS);
    this.#decayedUsage += tokens;
    this.#usageUpdatedAt = now;
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
