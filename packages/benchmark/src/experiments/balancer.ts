import * as timers from "node:timers/promises";
import type { launcher } from "@ebonypath/testing";
import * as undici from "undici";
import * as harness from "../harness/mod.ts";

const CHECK_INTERVAL_MS = 250;
const CHECK_TIMEOUT_MS = 500;

/** A host that is to get a request. */
export interface Target {
  /** Number of the host in the fleet. */
  readonly host: number;
  readonly caller: harness.Caller;
}

/** Sends requests in turn to the hosts that say they are ready. */
export class Balancer {
  readonly #callers: readonly harness.Caller[];
  readonly #fleet: launcher.Fleet;
  readonly #origins: readonly string[];
  readonly #stopping = new AbortController();
  readonly #running: Promise<void>;
  readonly #dropped = new Set<number>();
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
    return this.nextTarget().caller;
  }

  /** The next host that is ready, with its number. */
  nextTarget(): Target {
    this.#next += 1;
    const host = this.#ready[this.#next % this.#ready.length] ?? 0;
    return { host, caller: this.#callers[host] as harness.Caller };
  }

  /** Sends to a host no more, whatever a check under way says of it. */
  drop(host: launcher.FleetHost): void {
    this.#dropped.add(this.#fleet.hosts.indexOf(host));
    this.#serve(this.#ready);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stopping.abort();
    await this.#running;
    for (const caller of this.#callers) await caller[Symbol.asyncDispose]();
  }

  #serve(ready: readonly number[]): void {
    const rest = ready.filter((host) => !this.#dropped.has(host));
    if (rest.length > 0) this.#ready = rest;
  }

  async #check(): Promise<void> {
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      const results = await Promise.all(this.#origins.map(isReady));
      this.#serve(results.flatMap((one, index) => one ? [index] : []));
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
