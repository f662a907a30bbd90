/**
 * Borrows units of limits for all hosts together from the leader.
 *
 * @module
 */
import * as timers from "node:timers";
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import * as clocks from "./clocks.ts";

/** Most units of one limit that are asked for without a waiting request. */
const MAX_WANTED = 4;

/** How long units of each limit may be used, in milliseconds. */
const LIFETIMES_MS: Record<gateway.SharedLimit, number> = {
  "retries": core.gateway.RETRY_UNIT_LIFETIME_MS,
  "cold-server": core.gateway.COLD_UNIT_LIFETIME_MS,
};

/** Units of one limit, and who waits for them. */
type Stock = {
  readonly limit: gateway.SharedLimit;
  readonly name: string;
  readonly units: core.gateway.BorrowedUnits;
  readonly waiting: Set<(isTaken: boolean) => void>;
  wanted: number;
};

/** Keeps the borrowed units of one host. */
export class UnitBorrower {
  readonly #onWanted: () => void;
  readonly #readClocks: () => core.gateway.ClockReading;
  readonly #stocks = new Map<string, Stock>();

  /** @param onWanted called when units are wanted that the host doesn't have */
  constructor(onWanted: () => void, readClocks = clocks.readClocks) {
    this.#onWanted = onWanted;
    this.#readClocks = readClocks;
  }

  /** Takes a unit that the host has. */
  tryTake(limit: gateway.SharedLimit, name: string): boolean {
    return this.#stockOf(limit, name).units.tryTake(this.#readClocks());
  }

  /** Asks the leader for a unit; a later `tryTake` may get it. */
  want(limit: gateway.SharedLimit, name: string): void {
    const stock = this.#stockOf(limit, name);
    if (stock.wanted >= MAX_WANTED) return;
    stock.wanted += 1;
    this.#onWanted();
  }

  /** Takes a unit, or waits until the leader lends one or the time is over. */
  async take(
    limit: gateway.SharedLimit,
    name: string,
    timeoutMs: number,
  ): Promise<boolean> {
    if (this.tryTake(limit, name)) return true;
    const { waiting } = this.#stockOf(limit, name);
    return await new Promise<boolean>((resolve) => {
      const finish = (isTaken: boolean) => {
        timers.clearTimeout(timer);
        waiting.delete(finish);
        resolve(isTaken);
      };
      const timer = timers.setTimeout(() => finish(false), timeoutMs);
      waiting.add(finish);
      this.#onWanted();
    });
  }

  /** Whether requests wait for units. */
  get isWaiting(): boolean {
    return [...this.#stocks.values()].some(({ waiting }) => waiting.size > 0);
  }

  /** Units to ask for in the next report. */
  collectWanted(): gateway.LimitUnits[] {
    const wanted: gateway.LimitUnits[] = [];
    for (const [key, stock] of this.#stocks) {
      const { limit, name, waiting } = stock;
      const units = stock.wanted + waiting.size;
      stock.wanted = 0;
      if (units > 0) wanted.push({ limit, name, units });
      else this.#stocks.delete(key);
    }
    return wanted;
  }

  /** Adds units that the leader has lent in its answer to a report. */
  onLent(
    lent: readonly gateway.LimitUnits[],
    requestedAt: core.gateway.ClockReading,
  ): void {
    for (const { limit, name, units } of lent) {
      const stock = this.#stockOf(limit, name);
      stock.units.add(units, requestedAt);
      for (const finish of [...stock.waiting]) {
        if (!stock.units.tryTake(this.#readClocks())) break;
        finish(true);
      }
    }
  }

  #stockOf(limit: gateway.SharedLimit, name: string): Stock {
    const key = `${limit} ${name}`;
    const stock = this.#stocks.get(key) ?? {
      limit,
      name,
      units: new core.gateway.BorrowedUnits(LIFETIMES_MS[limit]),
      waiting: new Set<(isTaken: boolean) => void>(),
      wanted: 0,
    };
    this.#stocks.set(key, stock);
    return stock;
  }
}
