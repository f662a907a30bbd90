/**
 * The host's side of one backend server's concurrency limit.
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
import { canApply, ReportSchedule, type Urgency } from "./report_schedule.ts";

/** Length of each of the two periods over which the peak is tracked. */
const PEAK_PERIOD_MS = 5000;

/**
 * How long a host repeatedly requests slots that it will need after a load. By
 * then, other hosts have released what they don't use; slots that are still
 * missing are in use, and a long load is no reason to keep requesting them.
 */
const EXPECTED_URGENT_MS = 500;

/** Requests that wait for a slot of one server on this host. */
export type WaitingSlots = {
  readonly count: number;
  /** Time at which the oldest of them started waiting. */
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
 * One host's share of a backend server's slots. Running requests keep counting
 * when the share shrinks or expires. So do abandoned requests, because the
 * server may still be running them.
 */
export class SlotShare {
  readonly #server: string;
  readonly #running = new Set<Slot>();
  /** Running requests that are already counted as successes. */
  readonly #countedSuccesses = new Set<Slot>();
  /**
   * Abandoned requests that the server may still run, with the time of
   * abandonment.
   */
  readonly #abandoned = new Map<Slot, number>();
  readonly #outcomes = { succeeded: 0, refused: 0, failed: 0, slow: 0 };
  #lease: Lease | undefined;
  #waiting: WaitingSlots | undefined;
  #expected: ExpectedSlots | undefined;
  #peak = { startedAt: 0, current: 0, previous: 0 };
  /**
   * Slots that the leader counts as allocated to this host, as of the last
   * exchange.
   */
  #allocatedSlots = 0;
  /** Whether the leader may count slots as allocated to this host. */
  #mayBeAllocated = false;
  #waitingInReport = 0;
  #expectedInReport = 0;
  readonly #schedule = new ReportSchedule();

  constructor(server: string) {
    this.#server = server;
  }

  /** Number of running requests. */
  get running(): number {
    return this.#running.size;
  }

  /** Number of requests that can be started now. */
  available(now: number): number {
    return Math.max(0, this.#slots(now) - this.#inUse(now));
  }

  /**
   * Whether nothing is held, running or in demand, so that the share can be
   * removed.
   */
  isIdle(now: number): boolean {
    return this.#slots(now) === 0 && this.#inUse(now) === 0 &&
      this.#waiting === undefined && this.#expected === undefined &&
      this.#recentPeak(now) === 0 &&
      !this.#mayBeAllocated;
  }

  /** When the share should be reported to the leader next. */
  dueAt(now: number): number {
    return this.#schedule.dueAt(this.#urgency(now));
  }

  /** Releases all unused slots, for example when the host shuts down. */
  releaseUnused(): void {
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

  /**
   * Sets how many requests will need a slot once a load in progress is
   * complete.
   */
  setExpected(count: number, now: number): void {
    const since = this.#expected?.since ?? now;
    this.#expected = count > 0 ? { count, since } : undefined;
  }

  /**
   * Acquires a slot for one request.
   *
   * @param deadline Time by which the request ends. It is limited to
   *   `MAX_REQUEST_MS` from now; the caller must end the request by the
   *   deadline of the returned slot.
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
   * Counts a running request as a success before it ends, because its server
   * has proved able to handle it. Answers may run for longer than a ramp-up
   * should take.
   */
  markSucceeded(slot: Slot): void {
    if (!this.#running.has(slot) || this.#countedSuccesses.has(slot)) return;
    this.#countedSuccesses.add(slot);
    this.#outcomes.succeeded++;
  }

  /** Releases a slot. Releasing it again has no effect. */
  release(slot: Slot, outcome: SlotOutcome): void {
    if (!this.#running.delete(slot)) return;
    const isCounted = this.#countedSuccesses.delete(slot) &&
      outcome === "succeeded";
    if (outcome !== "neutral" && !isCounted) this.#outcomes[outcome]++;
  }

  /**
   * Ends a request that the server may not know to be abandoned, for example
   * after its connection went silent. Its slot stays in use until the server
   * reports that it runs fewer requests, but for at most
   * `ABANDONED_SLOT_HOLD_MS`.
   */
  abandon(slot: Slot, outcome: SlotOutcome, now: number): void {
    if (!this.#running.has(slot)) return;
    this.release(slot, outcome);
    this.#abandoned.set(slot, now);
  }

  /**
   * Frees the slot of an abandoned request that the server is known to have
   * ended.
   */
  confirmEnd(slot: Slot): void {
    this.#abandoned.delete(slot);
  }

  /** Describes the share for the exchange with this number. */
  report(exchange: number, now: number): protocol.limits.SlotReport {
    const slots = this.#slots(now);
    this.#schedule.begin(exchange, now);
    this.#mayBeAllocated = true;
    const inUse = this.#inUse(now);
    this.#allocatedSlots = Math.max(slots, inUse);
    this.#waitingInReport = this.#waiting?.count ?? 0;
    this.#expectedInReport = this.#expected?.count ?? 0;
    return {
      server: this.#server,
      ...(this.#lease === undefined ? {} : { grant: this.#lease.grant }),
      slots: this.#allocatedSlots,
      running: inUse,
      horizonMs: this.#remainingMs(slots, now),
      peak: this.#recentPeak(now),
      waiting: this.#waiting?.count ?? 0,
      waitingMs: Math.max(0, now - (this.#waiting?.since ?? now)),
      ...(this.#expected === undefined
        ? {}
        : { expected: this.#expected.count }),
      outcomes: { ...this.#outcomes },
    };
  }

  /** Applies a grant if it answers the latest report and is not outdated. */
  accept(
    grant: protocol.limits.SlotGrant,
    id: protocol.limits.GrantId,
    now: number,
  ): boolean {
    const reportedAt = this.#schedule.end(id.exchange);
    if (reportedAt === undefined) {
      return false;
    }
    this.#applyObservedLoad(grant, reportedAt);
    const expiresAt = reportedAt +
      grant.lifetimeMs * HOLDER_LIFETIME_FRACTION;
    this.#endExpired(now);
    if (now >= expiresAt || !canApply(grant, this.#lease?.grant)) {
      return false;
    }
    this.#lease = { grant: id, slots: grant.slots, expiresAt };
    this.#allocatedSlots = Math.max(this.#allocatedSlots, grant.slots);
    this.#mayBeAllocated = this.#allocatedSlots > 0;
    return true;
  }

  /**
   * Frees the slots of abandoned requests that the server no longer runs,
   * according to its own report.
   */
  #applyObservedLoad(
    grant: protocol.limits.SlotGrant,
    reportedAt: number,
  ): void {
    if (grant.observed === undefined) return;
    const { running, ageMs } = grant.observed;
    const measuredAt = reportedAt - ageMs * (1 + 2 * CLOCK_DRIFT);
    const since = measuredAt - MAX_LOAD_REPORT_LAG_MS;
    // The server can't run more of the abandoned requests than it runs in
    // total.
    const abandonedBefore = [...this.#abandoned]
      .filter(([, abandonedAt]) => abandonedAt <= since);
    const ended = Math.max(0, abandonedBefore.length - running);
    for (const [slot] of abandonedBefore.slice(0, ended)) {
      this.#abandoned.delete(slot);
    }
  }

  /** Slots of requests that are running or that the server may still run. */
  #inUse(now: number): number {
    for (const [slot, abandonedAt] of this.#abandoned) {
      if (now >= abandonedAt + ABANDONED_SLOT_HOLD_MS) {
        this.#abandoned.delete(slot);
      }
    }
    return this.#running.size + this.#abandoned.size;
  }

  #urgency(now: number): Urgency {
    const waiting = this.#waiting?.count ?? 0;
    const isShort = this.available(now) < waiting;
    if (isShort && waiting > this.#waitingInReport) {
      return "at-once";
    }
    if (this.#isSeekingExpected(now)) {
      const isNews = (this.#expected?.count ?? 0) > this.#expectedInReport;
      return isNews ? "at-once" : "soon";
    }
    const needed = Math.max(this.#slots(now), this.#inUse(now));
    return isShort || needed < this.#allocatedSlots ? "soon" : "renewal";
  }

  /**
   * Whether slots needed after a load are missing and still being requested.
   */
  #isSeekingExpected(now: number): boolean {
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

  /**
   * Longest time for which any request may still run. A request that starts
   * later under this share may run for the maximum time.
   */
  #remainingMs(slots: number, now: number): number {
    if (slots > 0) {
      return MAX_REQUEST_MS;
    }
    let latest = now;
    for (const slot of this.#running) {
      latest = Math.max(latest, slot.deadline);
    }
    for (const abandonedAt of this.#abandoned.values()) {
      latest = Math.max(latest, abandonedAt + ABANDONED_SLOT_HOLD_MS);
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
