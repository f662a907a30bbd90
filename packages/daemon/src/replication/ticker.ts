/**
 * The regular clock input of a replica.
 *
 * @module
 */

import * as timers from "node:timers";
import { createLog } from "../log/mod.ts";

/** Interval of the replica's clock, in milliseconds. */
const TICK_MS = 20;
/** A tick that is this late lets waiting messages go first. */
const STALL_MS = 200;

const log = createLog("replication");

/** Ticks until it's stopped, and reports stalls of the event loop. */
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
    this.#timer ??= timers.setInterval(() => this.#tick(), TICK_MS);
  }

  stop(): void {
    if (this.#timer !== null) {
      timers.clearInterval(this.#timer);
      this.#timer = null;
    }
  }

  /** After a stall the messages that wait in sockets go before the clock. */
  #tick(): void {
    const now = this.#clock();
    const lateMs = now - this.#lastTick - TICK_MS;
    this.#lastTick = now;
    if (lateMs < STALL_MS) {
      this.#onTick();
    } else {
      log("stalled", { late_ms: Math.round(lateMs) });
      timers.setTimeout(() => this.#onTick(), 0);
    }
  }
}
