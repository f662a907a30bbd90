/**
 * The leader's side of one backend server's concurrency limit.
 *
 * @module
 */

import type * as protocol from "@ebonypath/protocol";
import {
  divideFreeUnits,
  divideUnits,
  type UnitDemand,
} from "./fair_division.ts";
import { PoolGrantState } from "./pool_grant_state.ts";
import {
  allocatedTo,
  AllocationTable,
  type HolderAllocation,
  type Share,
} from "./allocation_table.ts";
import {
  CLOCK_DRIFT,
  MAX_LOAD_REPORT_LAG_MS,
  MAX_REQUEST_MS,
  type ObservedOutcomes,
  SHARE_LIFETIME_MS,
} from "./types.ts";

/**
 * Slots that may be in use on a server by a holder that the leader can't reach.
 */
type OrphanedSlots = {
  /** Undefined for holders that have never reported to this leader. */
  readonly holder: string | undefined;
  readonly exchange: number;
  slots: number;
  /** Time since which the holder can't start any more requests. */
  readonly since: number;
  /** Time by which the longest of its requests must have ended. */
  readonly until: number;
};

type HolderState = {
  readonly running: number;
  readonly peak: number;
  readonly waiting: number;
  readonly waitingMs: number;
  readonly expected?: number | undefined;
  readonly horizonMs: number;
  readonly outcomes: protocol.limits.ServerOutcomes;
  readonly reportedAt: number;
  /** Time at which the holder last had a slot; of its first report if never. */
  readonly heldAt: number;
};

/** The state in which a pool is created. */
export type SlotPoolStart = {
  /** Time at which the last share of an earlier leader has expired. */
  readonly adoptionEndsAt: number;
  /** Running requests reported by the server. */
  readonly running: number;
  /** Whether slots may be granted. */
  readonly isGrantable: boolean;
};

/**
 * Time without a slot, in milliseconds, after which a holder whose requests wait
 * gets one before holders that have one. It bounds how often a slot changes
 * hands, which leaves it unused for a while.
 */
const MAX_TIME_WITHOUT_SLOT_MS = 250;

const NO_OUTCOMES = { succeeded: 0, refused: 0, failed: 0, slow: 0 };

/** One backend server's slots, divided among holders. */
export class SlotPool {
  /** Controls whether slots may be granted. */
  readonly grantState: PoolGrantState;
  readonly #name: string;
  readonly #allocations: AllocationTable;
  readonly #holderStates = new Map<string, HolderState>();
  #orphans: OrphanedSlots[] = [];
  #observed: { readonly running: number; readonly at: number } | undefined;
  #limit: number;
  #outcomes: protocol.limits.ServerOutcomes = { ...NO_OUTCOMES };

  /** Creates the pool as of `now`. */
  constructor(name: string, limit: number, start: SlotPoolStart, now: number) {
    const isAdopting = now < start.adoptionEndsAt;
    this.#name = name;
    this.#limit = limit;
    this.grantState = new PoolGrantState(start.isGrantable, now);
    this.#allocations = new AllocationTable(
      { capacity: isAdopting ? limit : 0, rate: 0 },
      start.adoptionEndsAt,
    );
    if (!isAdopting) {
      this.#addOrphan(undefined, start.running, now + MAX_REQUEST_MS, now);
    }
  }

  /** Maximum number of concurrent requests that new grants follow. */
  get limit(): number {
    return this.#limit;
  }

  /** Whether any holder may still have a share or a running request. */
  get isInUse(): boolean {
    return this.#allocations.holders.size > 0;
  }

  /** Whether any slots are allocated, in use or in demand. */
  isActive(now: number): boolean {
    this.advance(now);
    const hasDemand = [...this.#holderStates.values()]
      .some((state) => demandOf(state, now).expected > 0);
    return hasDemand || this.#allocations.isAdopting || this.allocated() > 0;
  }

  /** Slots that must be considered in use. */
  allocated(): number {
    return this.#allocations.allocated().capacity + this.#orphanedSlots();
  }

  /**
   * Changes the limit. A reduction takes effect once the holders have
   * acknowledged smaller shares or their shares have expired.
   */
  setLimit(limit: number, now: number): void {
    this.advance(now);
    this.#allocations.observeLimit({ capacity: limit, rate: 0 });
    this.#limit = limit;
  }

  /**
   * Takes into account how many running requests the server reports. They
   * include the requests of unreachable holders, which can't have started new
   * ones since their shares expired.
   */
  observeRunning(running: number, now: number): void {
    this.advance(now);
    this.#observed = { running, at: now };
    let remaining = running;
    for (const orphan of this.#orphans) {
      if (now >= orphan.since + MAX_LOAD_REPORT_LAG_MS) {
        orphan.slots = Math.min(orphan.slots, remaining);
        remaining -= orphan.slots;
      }
    }
  }

  /** Reclaims expired shares, except for requests that may still be running. */
  advance(now: number): void {
    const unreported = this.#allocations.endAdoption(now).capacity;
    this.#addOrphan(undefined, unreported, now + MAX_REQUEST_MS, now);
    for (const [holder, allocation] of this.#allocations.removeExpired(now)) {
      const until = allocation.expiresAt +
        this.#remainingMs(holder, allocation) * (1 + 2 * CLOCK_DRIFT);
      const { capacity } = allocatedTo(allocation);
      this.#addOrphan(holder, capacity, until, now, allocation.exchange);
      this.#holderStates.delete(holder);
    }
    this.#orphans = this.#orphans.filter(({ slots, until }) =>
      slots > 0 && until > now
    );
  }

  /**
   * Processes one holder's report and returns its share; returns undefined if
   * the report is outdated.
   *
   * @param id Identifies the grant: the leader's term and the exchange.
   */
  exchange(
    holder: string,
    report: protocol.limits.SlotReport,
    id: protocol.limits.GrantId,
    now: number,
  ): protocol.limits.SlotGrant | undefined {
    this.advance(now);
    const orphan = this.#orphans.find((one) => one.holder === holder);
    if (orphan !== undefined && id.exchange <= orphan.exchange) {
      return undefined;
    }
    const classification = this.#allocations.recordReport(
      holder,
      id.exchange,
      reportedShare(report),
      report.slots,
      now,
    );
    if (classification.kind === "ignored") {
      return undefined;
    }
    if (orphan !== undefined) {
      orphan.slots = 0;
    } else if (classification.kind === "unleased") {
      this.#reattribute(report.slots);
    }
    this.#collectOutcomes(holder, report.outcomes);
    this.#recordState(holder, report, now);
    const slots = this.#target(holder, report, now);
    this.#allocations.recordGrant(holder, {
      id,
      size: { capacity: slots, rate: 0 },
      level: 0,
    });
    return {
      server: this.#name,
      ...(classification.kind === "unleased"
        ? {}
        : { continues: classification.share.id }),
      slots,
      lifetimeMs: SHARE_LIFETIME_MS,
      ...this.#observation(now),
    };
  }

  /**
   * Whether a holder has requests that wait, or will wait once a load is
   * complete, although others have unused slots according to their latest
   * reports.
   */
  isShortOfSlots(holder: string): boolean {
    const own = this.#holderStates.get(holder);
    const allocation = this.#allocations.holders.get(holder);
    if (own === undefined || allocation === undefined) return false;
    const granted = allocation.pending?.size.capacity ?? 0;
    const { needed, expected } = demandOf(own, own.reportedAt);
    if (own.waiting > 0 && granted < needed) {
      return this.#othersHaveSpare(holder, ({ running }) => running);
    }
    // If two holders both expect a load, neither requests the other's slots.
    return granted < expected &&
      this.#othersHaveSpare(
        holder,
        (other) => other.running + (other.expected ?? 0),
      );
  }

  /** Whether slots are free for which requests of other holders wait. */
  hasFreeSlotsForOthers(holder: string, now: number): boolean {
    this.advance(now);
    if (this.allocated() >= Math.floor(this.#limit)) return false;
    return [...this.#holderStates].some(([other, state]) =>
      other !== holder && state.waiting > 0 &&
      this.#allocatedTo(other) < demandOf(state, now).needed
    );
  }

  /** Whether another holder may have more slots than it needs. */
  #othersHaveSpare(
    holder: string,
    need: (other: HolderState) => number,
  ): boolean {
    return [...this.#allocations.holders].some(
      ([other, { confirmed, pending }]) => {
        if (other === holder) return false;
        const most = Math.max(
          confirmed?.size.capacity ?? 0,
          pending?.size.capacity ?? 0,
        );
        const state = this.#holderStates.get(other);
        return most > (state === undefined ? 0 : need(state));
      },
    );
  }

  /** Returns how requests ended since the previous call. */
  takeOutcomes(): Omit<ObservedOutcomes, "server"> {
    const outcomes = this.#outcomes;
    this.#outcomes = { ...NO_OUTCOMES };
    let running = 0;
    for (const { peak } of this.#holderStates.values()) {
      running += peak;
    }
    return {
      outcomes,
      running: Math.min(running, this.#limit),
      inherited: this.#inherited(),
    };
  }

  #observation(now: number): Pick<protocol.limits.SlotGrant, "observed"> {
    if (this.#observed === undefined) return {};
    const { running, at } = this.#observed;
    return { observed: { running, ageMs: Math.max(0, now - at) } };
  }

  #recordState(
    holder: string,
    report: protocol.limits.SlotReport,
    now: number,
  ): void {
    const heldAt = report.slots > 0
      ? now
      : this.#holderStates.get(holder)?.heldAt ?? now;
    this.#holderStates.set(holder, { ...report, reportedAt: now, heldAt });
  }

  #target(
    holder: string,
    report: protocol.limits.SlotReport,
    now: number,
  ): number {
    if (!this.grantState.isGrantable) return 0;
    const index = [...this.#holderStates.keys()].indexOf(holder);
    const demands = [...this.#holderStates.values()]
      .map((state) => demandOf(state, now));
    const unreported = this.allocated() -
      this.#allocations.allocatedToKnownHolders().capacity;
    const maxSlots = Math.max(this.#limit, this.#inherited());
    // Slots that may be allocated but are unreported can't be granted to anyone
    // yet. Until then, needs are met from the buffers of other holders, and no
    // holder loses slots that it needs itself.
    const fair = divideUnits(maxSlots - this.#orphanedSlots(), demands)[index]!;
    const available = divideUnits(maxSlots - unreported, demands)[index]!;
    const target = Math.max(available, Math.min(fair, demands[index]!.needed));
    return Math.min(
      target,
      report.slots + this.#freeSlotsFor(index, target, demands),
    );
  }

  /**
   * Slots that a holder may get in addition now. Free slots are kept for holders
   * that have fewer, also while these don't report: the others ask more often.
   */
  #freeSlotsFor(
    index: number,
    target: number,
    demands: readonly UnitDemand[],
  ): number {
    const free = Math.max(0, Math.floor(this.#limit) - this.allocated());
    const fair = divideUnits(this.#limit - this.#orphanedSlots(), demands);
    const participants = [...this.#holderStates.keys()].map((holder, at) => {
      const { ageMs, needed } = demands[at]!;
      return {
        held: this.#allocatedTo(holder),
        target: at === index ? target : Math.min(fair[at]!, needed),
        ageMs,
      };
    });
    return divideFreeUnits(free, participants)[index]!;
  }

  #allocatedTo(holder: string): number {
    const allocation = this.#allocations.holders.get(holder);
    return allocation === undefined ? 0 : allocatedTo(allocation).capacity;
  }

  /** Slots of holders that the leader can't reach. */
  #orphanedSlots(): number {
    return this.#orphans.reduce((total, { slots }) => total + slots, 0);
  }

  /**
   * Longest time for which a holder's requests may still run. Requests may have
   * started under a grant that the holder never acknowledged.
   */
  #remainingMs(holder: string, allocation: HolderAllocation): number {
    return (allocation.pending?.size.capacity ?? 0) > 0
      ? MAX_REQUEST_MS
      : this.#holderStates.get(holder)!.horizonMs;
  }

  /** Slots that holders have from an earlier leader. */
  #inherited(): number {
    return this.#allocations.isAdopting
      ? this.#allocations.allocatedToKnownHolders().capacity
      : 0;
  }

  /**
   * Subtracts the slots that a holder reports from those of unknown holders.
   */
  #reattribute(slots: number): void {
    let rest = slots;
    for (const orphan of this.#orphans) {
      if (orphan.holder === undefined) {
        const part = Math.min(rest, orphan.slots);
        orphan.slots -= part;
        rest -= part;
      }
    }
  }

  #addOrphan(
    holder: string | undefined,
    slots: number,
    until: number,
    now: number,
    exchange = 0,
  ): void {
    if (slots > 0) {
      this.#orphans.push({ holder, exchange, slots, since: now, until });
    }
  }

  #collectOutcomes(
    holder: string,
    totals: protocol.limits.ServerOutcomes,
  ): void {
    const before = this.#holderStates.get(holder)?.outcomes ?? totals;
    const sum = this.#outcomes;
    this.#outcomes = {
      succeeded: sum.succeeded + increase(before.succeeded, totals.succeeded),
      refused: sum.refused + increase(before.refused, totals.refused),
      failed: sum.failed + increase(before.failed, totals.failed),
      slow: sum.slow + increase(before.slow, totals.slow),
    };
  }
}

/** Returns the increase of a running total, which a holder may have reset. */
function increase(before: number, after: number): number {
  return Math.max(0, after - before);
}

function reportedShare(report: protocol.limits.SlotReport): Share | undefined {
  const { grant, slots } = report;
  return grant === undefined
    ? undefined
    : { id: grant, size: { capacity: slots, rate: 0 } };
}

function demandOf(state: HolderState, now: number): UnitDemand {
  const { running, peak, waiting } = state;
  const needed = running + waiting;
  const expected = needed + (state.expected ?? 0);
  const buffered = peak > 0 ? Math.max(expected, peak + 1) : expected;
  return { needed, expected, buffered, ageMs: ageOf(state, now) };
}

/**
 * How long a holder's oldest request has waited by now, in milliseconds; longer
 * than that of any holder with a slot if the holder has had none for some time.
 */
function ageOf(
  { heldAt, reportedAt, waiting, waitingMs }: HolderState,
  now: number,
): number {
  if (waiting === 0) return 0;
  const withoutSlotMs = now - heldAt;
  return withoutSlotMs > MAX_TIME_WITHOUT_SLOT_MS
    ? MAX_REQUEST_MS + withoutSlotMs
    : waitingMs + now - reportedAt;
}
