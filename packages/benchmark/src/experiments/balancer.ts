import * as timers from "node:timers/promises";
import type { launcher } from "@ebonypath/testing";
import * as undici from "undici";
import * as harness from "../harness/mod.ts";

const CHECK_INTERVAL_MS = 250;
const CHECK_TIMEOUT_MS = 500;

/** Sends requests in turn to the hosts that say they are ready. */
export class Balancer {
  readonly #callers: readonly harness.Caller[];
  readonly #fleet: launcher.Fleet;
  readonly #origins: readonly string[];
  readonly #stopping = new AbortController();
  readonly #running: Promise<void>;
  #ready: number[];
  #next = 0;

  constructor(fleet: launcher.Fleet, key: string) {
    this.#fleet = fleet;
    this.#origins = fleet.callers;
    this.#callers = this.#origins.map((origin) =>
      new harness.Caller(origin, key)
    );
    this.#ready = this.#callers.map((_, index) => index);
    this.#running = this.#check();
  }

  /** The next host that is ready. */
  next(): harness.Caller {
    this.#next += 1;
    const index = this.#ready[this.#next % this.#ready.length] ?? 0;
    return this.#callers[index] as harness.Caller;
  }

  /** Stops sending to a host before its next check. */
  drop(host: launcher.FleetHost): void {
    const index = this.#fleet.hosts.indexOf(host);
    const rest = this.#ready.filter((one) => one !== index);
    if (rest.length > 0) this.#ready = rest;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stopping.abort();
    await this.#running;
    for (const caller of this.#callers) await caller[Symbol.asyncDispose]();
  }

  async #check(): Promise<void> {
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      const results = await Promise.all(this.#origins.map(isReady));
      const ready = results.flatMap((one, index) => one ? [index] : []);
      if (ready.length > 0) this.#ready = ready;
      await timers.setTimeout(CHECK_INTERVAL_MS, undefined, { signal })
        .catch(() => undefined);
    }
  }
}

async function isReady(origin: string): Promise<boolean> {
  try {
    const answer = await undici.request(`${origin}/readyz`, {
      signal: AbortSignal.timeout(CHECK_TIMEOUT_MS),
    });
    await answer.body.dump();
    return answer.statusCode === 200;
  } catch {
    return false;
  }
}
