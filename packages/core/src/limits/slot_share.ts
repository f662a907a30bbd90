/**
 * The holder's side of one backend server's concurrency limit.
 *
 * @module
 */

import type * as protocol from "@ebonypath/protocol";
import {
  ABANDONED_SLOT_HOLD_MS,
  type AcquireResult,
  CLOCK_DRIFT,
  HOLDER_LIFETIME_FRACTION,
  MAX_LOAD_REPORT_LAG_MS,
  MAX_REQUEST_MS,
  type Slot,
  type SlotOutcome,
} from "./types.ts";
import { continues, Renewal, type Urgency } from "./report_schedule.ts";

/** Length of the two periods over which the peak is kept. */
const PEAK_PERIOD_MS = 5000;

/**
 * How long a holder asks again and again for slots that it will need after a
 * load. Others have given up what they do not use by then; what is still
 * missing is in use, and a long load is no reason to go on asking.
 */
const EXPECTED_URGENT_MS = 500;

/** Requests that wait for a slot of one server at this host. */
export type WaitingSlots = {
  readonly count: number;
  /** When the oldest of them began to wait. */
  readonly since: number;
};

/** Requests that will wait for a slot once a load is complete. */
type ExpectedSlots = {
  readonly count: number;
  readonly since: number;
};

type Lease = {
  readonly grant: protocol.limits.GrantId;
  readonly slots: number;
  readonly expiresAt: number;
};

/**
 * One host's share of a backend server's slots. Requests that run keep counting
 * when the share shrinks or expires, and so do requests that the host gave up:
 * the server may run them still.
 */
export class SlotShare {
  readonly #server: string;
  readonly #running = new Set<Slot>();
  /** Running requests that count as successes already. */
  readonly #borne = new Set<Slot>();
  /** When each request was given up that the server may still run. */
  readonly #givenUp = new Map<Slot, number>();
  readonly #outcomes = { succeeded: 0, refused: 0, failed: 0, slow: 0 };
  #lease: Lease | undefined;
  #waiting: WaitingSlots | undefined;
  #expected: ExpectedSlots | undefined;
  #peak = { startedAt: 0, current: 0, previous: 0 };
  /** Slots that the leader counts for this host, as of the last exchange. */
  #countedSlots = 0;
  /** The leader may count slots for this host. */
  #mayCount = false;
  #waitingInReport = 0;
  #expectedInReport = 0;
  readonly #renewal = new Renewal();

  constructor(server: string) {
    this.#server = server;
  }

  /** Requests that run now. */
  get running(): number {
    return this.#running.size;
  }

  /** Requests that may still be started now. */
  available(now: number): number {
    return Math.max(0, this.#slots(now) - this.#inUse(now));
  }

  /** Whether nothing is held, running or wanted, so that it can be forgotten. */
  isIdle(now: number): boolean {
    return this.#slots(now) === 0 && this.#inUse(now) === 0 &&
      this.#waiting === undefined && this.#expected === undefined &&
      this.#recentPeak(now) === 0 &&
      !this.#mayCount;
  }

  /** When the leader should next hear of this share. */
  dueAt(now: number): number {
    return this.#renewal.dueAt(this.#urgency(now));
  }

  /** Gives up all slots that no request uses, as when the host shuts down. */
  handOver(): void {
    this.#waiting = undefined;
    this.#expected = undefined;
    this.#peak = { startedAt: 0, current: 0, previous: 0 };
    if (this.#lease !== undefined) {
      this.#lease = { ...this.#lease, slots: 0 };
    }
  }

  /** Sets which requests wait for a slot, for the next report. */
  setWaiting(waiting: WaitingSlots | undefined): void {
    this.#waiting = waiting;
  }

  /** Sets how many requests will want a slot after a load under way here. */
  setExpected(count: number, now: number): void {
    const since = this.#expected?.since ?? now;
    this.#expected = count > 0 ? { count, since } : undefined;
  }

  /**
   * Takes a slot for one request.
   *
   * @param deadline When the request ends at the latest. A later one than
   *   `MAX_REQUEST_MS` from now is brought forward; the caller must end the
   *   request by the deadline of the slot.
   */
  acquire(deadline: number, now: number): AcquireResult {
    if (this.available(now) === 0) {
      return { kind: "wait" };
    }
    const slot: Slot = {
      server: this.#server,
      deadline: Math.min(deadline, now + MAX_REQUEST_MS),
    };
    this.#running.add(slot);
    this.#recentPeak(now);
    return { kind: "acquired", slot };
  }

  /**
   * Counts a running request as a success before its end: its server has shown
   * that it bears it. Answers may run for longer than a ramp-up should take.
   */
  markBorne(slot: Slot): void {
    if (!this.#running.has(slot) || this.#borne.has(slot)) return;
    this.#borne.add(slot);
    this.#outcomes.succeeded++;
  }

  /** Gives a slot back. Giving it back again has no effect. */
  release(slot: Slot, outcome: SlotOutcome): void {
    if (!this.#running.delete(slot)) return;
    const isCounted = this.#borne.delete(slot) && outcome === "succeeded";
    if (outcome !== "neutral" && !isCounted) this.#outcomes[outcome]++;
  }

  /**
   * Ends a request of which the server may not know that it is given up, as
   * on a connection that went silent. Its slot stays in use until the server
   * says that it runs fewer requests, and for `ABANDONED_SLOT_HOLD_MS` at most.
   */
  giveUp(slot: Slot, outcome: SlotOutcome, now: number): void {
    if (!this.#running.has(slot)) return;
    this.release(slot, outcome);
    this.#givenUp.set(slot, now);
  }

  /** Frees the slot of a request given up: the server is known to have ended. */
  confirmEnd(slot: Slot): void {
    this.#givenUp.delete(slot);
  }

  /** Describes the share for the exchange with this number. */
  report(exchange: number, now: number): protocol.limits.SlotReport {
    const slots = this.#slots(now);
    this.#renewal.begin(exchange, now);
    this.#mayCount = true;
    const inUse = this.#inUse(now);
    this.#countedSlots = Math.max(slots, inUse);
    this.#waitingInReport = this.#waiting?.count ?? 0;
    this.#expectedInReport = this.#expected?.count ?? 0;
    return {
      server: this.#server,
      ...(this.#lease === undefined ? {} : { grant: this.#lease.grant }),
      slots: this.#countedSlots,
      running: inUse,
      horizonMs: this.#horizonMs(slots, now),
      peak: this.#recentPeak(now),
      waiting: this.#waiting?.count ?? 0,
      waitingMs: Math.max(0, now - (this.#waiting?.since ?? now)),
      ...(this.#expected === undefined
        ? {}
        : { expected: this.#expected.count }),
      outcomes: { ...this.#outcomes },
    };
  }

  /** Applies a grant if it answers the latest report and is not out of date. */
  accept(
    grant: protocol.limits.SlotGrant,
    id: protocol.limits.GrantId,
    now: number,
  ): boolean {
    const reportedAt = this.#renewal.end(id.exchange);
    if (reportedAt === undefined) {
      return false;
    }
    this.#observe(grant, reportedAt);
    const expiresAt = reportedAt +
      grant.lifetimeMs * HOLDER_LIFETIME_FRACTION;
    this.#endExpired(now);
    if (now >= expiresAt || !continues(grant, this.#lease?.grant)) {
      return false;
    }
    this.#lease = { grant: id, slots: grant.slots, expiresAt };
    this.#countedSlots = Math.max(this.#countedSlots, grant.slots);
    this.#mayCount = this.#countedSlots > 0;
    return true;
  }

  /** Frees the slots of requests that the server says it no longer runs. */
  #observe(grant: protocol.limits.SlotGrant, reportedAt: number): void {
    if (grant.observed === undefined) return;
    const { running, ageMs } = grant.observed;
    const saidAt = reportedAt - ageMs * (1 + 2 * CLOCK_DRIFT);
    const since = saidAt - MAX_LOAD_REPORT_LAG_MS;
    // It can run no more of the requests given up than it runs at all.
    const known = [...this.#givenUp]
      .filter(([, givenUpAt]) => givenUpAt <= since);
    const ended = Math.max(0, known.length - running);
    for (const [slot] of known.slice(0, ended)) this.#givenUp.delete(slot);
  }

  /** Slots in use by requests that run, or that the server may still run. */
  #inUse(now: number): number {
    for (const [slot, givenUpAt] of this.#givenUp) {
      if (now >= givenUpAt + ABANDONED_SLOT_HOLD_MS) this.#givenUp.delete(slot);
    }
    return this.#running.size + this.#givenUp.size;
  }

  #urgency(now: number): Urgency {
    const waiting = this.#waiting?.count ?? 0;
    const isShort = this.available(now) < waiting;
    if (isShort && waiting > this.#waitingInReport) {
      return "at-once";
    }
    if (this.#isExpecting(now)) {
      const isNews = (this.#expected?.count ?? 0) > this.#expectedInReport;
      return isNews ? "at-once" : "soon";
    }
    const counted = Math.max(this.#slots(now), this.#inUse(now));
    return isShort || counted < this.#countedSlots ? "soon" : "renewal";
  }

  /** Whether slots for the time after a load are lacking, and sought. */
  #isExpecting(now: number): boolean {
    const { count, since } = this.#expected ?? { count: 0, since: now };
    if (now >= since + EXPECTED_URGENT_MS) return false;
    return this.available(now) < (this.#waiting?.count ?? 0) + count;
  }

  #endExpired(now: number): void {
    if (this.#lease !== undefined && now >= this.#lease.expiresAt) {
      this.#lease = undefined;
    }
  }

  #slots(now: number): number {
    this.#endExpired(now);
    return this.#lease?.slots ?? 0;
  }

  /** A request that is yet to start under this share may run longest. */
  #horizonMs(slots: number, now: number): number {
    if (slots > 0) {
      return MAX_REQUEST_MS;
    }
    let latest = now;
    for (const slot of this.#running) {
      latest = Math.max(latest, slot.deadline);
    }
    for (const givenUpAt of this.#givenUp.values()) {
      latest = Math.max(latest, givenUpAt + ABANDONED_SLOT_HOLD_MS);
    }
    return latest - now;
  }

  #recentPeak(now: number): number {
    const periods = Math.floor((now - this.#peak.startedAt) / PEAK_PERIOD_MS);
    if (periods > 0) {
      const previous = periods === 1 ? this.#peak.current : 0;
      this.#peak = { startedAt: now, current: 0, previous };
    }
    this.#peak.current = Math.max(this.#peak.current, this.#inUse(now));
    return Math.max(this.#peak.current, this.#peak.previous);
  }
}
