/**
 * The leader's side of one backend server's concurrency limit.
 *
 * @module
 */

import type * as protocol from "@ebonypath/protocol";
import { divideUnits, type UnitDemand } from "./fair_division.ts";
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

/** Slots in use at a server by a holder that the leader cannot hear. */
type Stray = {
  /** Absent for holders that this leader has never heard. */
  readonly holder: string | undefined;
  readonly exchange: number;
  slots: number;
  /** Since when no further request can begin. */
  readonly since: number;
  /** When the longest of its requests must have ended. */
  readonly until: number;
};

type Situation = {
  readonly running: number;
  readonly peak: number;
  readonly waiting: number;
  readonly waitingMs: number;
  readonly expected?: number | undefined;
  readonly horizonMs: number;
  readonly outcomes: protocol.limits.ServerOutcomes;
};

/** How a pool begins. */
export type SlotPoolStart = {
  /** When the last share of an earlier leader has expired. */
  readonly adoptsUntil: number;
  /** Requests that the server says it runs. */
  readonly running: number;
  /** Whether slots may be granted yet. */
  readonly isGrantable: boolean;
};

const NO_OUTCOMES = { succeeded: 0, refused: 0, failed: 0, slow: 0 };

/** One backend server's slots, divided among holders. */
export class SlotPool {
  /** Lets slots be granted. */
  readonly gate: PoolGrantState;
  readonly #name: string;
  readonly #ledger: AllocationTable;
  readonly #situations = new Map<string, Situation>();
  #strays: Stray[] = [];
  #observed: { readonly running: number; readonly at: number } | undefined;
  #limit: number;
  #outcomes: protocol.limits.ServerOutcomes = { ...NO_OUTCOMES };

  /** Creates the pool as of `now`. */
  constructor(name: string, limit: number, start: SlotPoolStart, now: number) {
    const adopts = now < start.adoptsUntil;
    this.#name = name;
    this.#limit = limit;
    this.gate = new PoolGrantState(start.isGrantable, now);
    this.#ledger = new AllocationTable(
      { capacity: adopts ? limit : 0, rate: 0 },
      start.adoptsUntil,
    );
    if (!adopts) {
      this.#addStray(undefined, start.running, now + MAX_REQUEST_MS, now);
    }
  }

  /** Requests that the server may run at once, as new grants have it. */
  get limit(): number {
    return this.#limit;
  }

  /** Whether any holder may still have a share or a running request. */
  get isInUse(): boolean {
    return this.#ledger.entries.size > 0;
  }

  /** Whether slots are held, in use or wanted. */
  isActive(now: number): boolean {
    this.advance(now);
    const isWanted = [...this.#situations.values()]
      .some((situation) => claimOf(situation).expected > 0);
    return isWanted || this.#ledger.isAdopting || this.allocated() > 0;
  }

  /** Slots that must be taken as in use. */
  allocated(): number {
    return this.#ledger.counted().capacity + this.#straySlots();
  }

  /**
   * Changes the limit. A reduction is in force once the holders have
   * acknowledged smaller shares or theirs have expired.
   */
  setLimit(limit: number, now: number): void {
    this.advance(now);
    this.#ledger.limitIs({ capacity: limit, rate: 0 });
    this.#limit = limit;
  }

  /**
   * Takes in how many requests the server itself runs. Requests of holders that
   * the leader cannot hear are among them, and no new ones can have begun since
   * their shares expired.
   */
  observeRunning(running: number, now: number): void {
    this.advance(now);
    this.#observed = { running, at: now };
    let most = running;
    for (const stray of this.#strays) {
      if (now >= stray.since + MAX_LOAD_REPORT_LAG_MS) {
        stray.slots = Math.min(stray.slots, most);
        most -= stray.slots;
      }
    }
  }

  /** Takes back what expired shares had, but for requests that may still run. */
  advance(now: number): void {
    const unreported = this.#ledger.closeAdoption(now).capacity;
    this.#addStray(undefined, unreported, now + MAX_REQUEST_MS, now);
    for (const [holder, entry] of this.#ledger.expire(now)) {
      const until = entry.expiresAt +
        this.#horizonMs(holder, entry) * (1 + 2 * CLOCK_DRIFT);
      const { capacity } = allocatedTo(entry);
      this.#addStray(holder, capacity, until, now, entry.exchange);
      this.#situations.delete(holder);
    }
    this.#strays = this.#strays.filter(({ slots, until }) =>
      slots > 0 && until > now
    );
  }

  /**
   * Takes in one holder's report and answers with its share, or with nothing
   * if the report is out of date.
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
    const stray = this.#strays.find((one) => one.holder === holder);
    if (stray !== undefined && id.exchange <= stray.exchange) {
      return undefined;
    }
    const receipt = this.#ledger.receive(
      holder,
      id.exchange,
      shareOf(report),
      report.slots,
      now,
    );
    if (receipt.kind === "ignored") {
      return undefined;
    }
    if (stray !== undefined) {
      stray.slots = 0;
    } else if (receipt.kind === "unleased") {
      this.#attribute(report.slots);
    }
    this.#collectOutcomes(holder, report.outcomes);
    this.#situations.set(holder, report);
    const slots = this.#target(holder, report);
    this.#ledger.offer(holder, {
      id,
      amount: { capacity: slots, rate: 0 },
      level: 0,
    });
    return {
      server: this.#name,
      ...(receipt.kind === "unleased" ? {} : { continues: receipt.share.id }),
      slots,
      lifetimeMs: SHARE_LIFETIME_MS,
      ...this.#observation(now),
    };
  }

  /**
   * Whether requests of a holder wait, or will after a load, although others
   * have slots that no request uses, as far as their latest reports tell.
   */
  isShort(holder: string): boolean {
    const own = this.#situations.get(holder);
    const entry = this.#ledger.entries.get(holder);
    if (own === undefined || entry === undefined) return false;
    const given = entry.offered?.amount.capacity ?? 0;
    const { want, expected } = claimOf(own);
    if (own.waiting > 0 && given < want) {
      return this.#hasSpare(holder, ({ running }) => running);
    }
    // Of two holders that expect a load, neither asks for the other's slots.
    return given < expected &&
      this.#hasSpare(holder, (other) => other.running + (other.expected ?? 0));
  }

  /** Whether another holder may have more slots than it needs. */
  #hasSpare(holder: string, need: (other: Situation) => number): boolean {
    return [...this.#ledger.entries].some(([other, { held, offered }]) => {
      if (other === holder) return false;
      const most = Math.max(
        held?.amount.capacity ?? 0,
        offered?.amount.capacity ?? 0,
      );
      const situation = this.#situations.get(other);
      return most > (situation === undefined ? 0 : need(situation));
    });
  }

  /** Returns how requests ended since the previous call. */
  takeOutcomes(): Omit<ObservedOutcomes, "server"> {
    const outcomes = this.#outcomes;
    this.#outcomes = { ...NO_OUTCOMES };
    let running = 0;
    for (const { peak } of this.#situations.values()) {
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

  #target(holder: string, report: protocol.limits.SlotReport): number {
    if (!this.gate.isOpen) return 0;
    const index = [...this.#situations.keys()].indexOf(holder);
    const claims = [...this.#situations.values()].map(claimOf);
    const unheard = this.allocated() - this.#ledger.held().capacity;
    const most = Math.max(this.#limit, this.#inherited());
    // Slots that may be out unheard can be had by nobody yet: what is wanted
    // comes out of stocks meanwhile, and nobody loses what it wants itself.
    const fair = divideUnits(most - this.#straySlots(), claims)[index]!;
    const atHand = divideUnits(most - unheard, claims)[index]!;
    const target = Math.max(atHand, Math.min(fair, claims[index]!.want));
    const free = Math.max(0, Math.floor(this.#limit) - this.allocated());
    return Math.min(target, report.slots + free);
  }

  /** Slots of holders that the leader cannot hear. */
  #straySlots(): number {
    return this.#strays.reduce((total, { slots }) => total + slots, 0);
  }

  /** Requests may have begun under an offer that the holder never confirmed. */
  #horizonMs(holder: string, entry: HolderAllocation): number {
    return (entry.offered?.amount.capacity ?? 0) > 0
      ? MAX_REQUEST_MS
      : this.#situations.get(holder)!.horizonMs;
  }

  /** Slots that holders have from an earlier leader. */
  #inherited(): number {
    return this.#ledger.isAdopting ? this.#ledger.held().capacity : 0;
  }

  /** Takes requests that a holder reports out of those of unknown holders. */
  #attribute(slots: number): void {
    let rest = slots;
    for (const stray of this.#strays) {
      if (stray.holder === undefined) {
        const part = Math.min(rest, stray.slots);
        stray.slots -= part;
        rest -= part;
      }
    }
  }

  #addStray(
    holder: string | undefined,
    slots: number,
    until: number,
    now: number,
    exchange = 0,
  ): void {
    if (slots > 0) {
      this.#strays.push({ holder, exchange, slots, since: now, until });
    }
  }

  #collectOutcomes(
    holder: string,
    totals: protocol.limits.ServerOutcomes,
  ): void {
    const before = this.#situations.get(holder)?.outcomes ?? totals;
    const sum = this.#outcomes;
    this.#outcomes = {
      succeeded: sum.succeeded + growth(before.succeeded, totals.succeeded),
      refused: sum.refused + growth(before.refused, totals.refused),
      failed: sum.failed + growth(before.failed, totals.failed),
      slow: sum.slow + growth(before.slow, totals.slow),
    };
  }
}

/** How much a running total grew; a holder may have begun it anew. */
function growth(before: number, after: number): number {
  return Math.max(0, after - before);
}

function shareOf(report: protocol.limits.SlotReport): Share | undefined {
  const { grant, slots } = report;
  return grant === undefined
    ? undefined
    : { id: grant, amount: { capacity: slots, rate: 0 } };
}

function claimOf(situation: Situation): UnitDemand {
  const { running, peak, waiting, waitingMs } = situation;
  const want = running + waiting;
  const expected = want + (situation.expected ?? 0);
  const stock = peak > 0 ? Math.max(expected, peak + 1) : expected;
  return { want, expected, stock, ageMs: waitingMs };
}
