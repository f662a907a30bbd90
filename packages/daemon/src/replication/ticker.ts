/**
 * Periodic clock input of a replica.
 *
 * @module
 */

import * as timers from "node:timers";
import { createLog } from "../log/mod.ts";

/** Interval between ticks, in milliseconds. */
const TICK_INTERVAL_MS = 20;
/** Delay from which on a tick counts as stalled, in milliseconds. */
const STALL_THRESHOLD_MS = 200;

const log = createLog("replication");

/** Calls `onTick` periodically, and logs stalls of the event loop. */
export class Ticker {
  #clock: () => number;
  #onTick: () => void;
  #timer: NodeJS.Timeout | null = null;
  #lastTick = 0;

  constructor(clock: () => number, onTick: () => void) {
    this.#clock = clock;
    this.#onTick = onTick;
  }

  start(): void {
    this.#lastTick = this.#clock();
    this.#timer ??= timers.setInterval(() => this.#tick(), TICK_INTERVAL_MS);
  }

  stop(): void {
    if (this.#timer !== null) {
      timers.clearInterval(this.#timer);
      this.#timer = null;
    }
  }

  /**
   * Defers the tick after a stall of the event loop, so that messages waiting in
   * sockets are processed first.
   */
  #tick(): void {
    const now = this.#clock();
    const lateMs = now - this.#lastTick - TICK_INTERVAL_MS;
    this.#lastTick = now;
    if (lateMs < STALL_THRESHOLD_MS) {
      this.#onTick();
    } else {
      log("stalled", { late_ms: Math.round(lateMs) });
      timers.setTimeout(() => this.#onTick(), 0);
    }
  }
}
