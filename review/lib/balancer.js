/**
 * The platform's balancer: asks each entry host once a second whether it is
 * ready, and gives new connections to those that are.
 *
 * @module
 */
import * as calls from "./calls.js";

const INTERVAL_MS = 1_000;
/** Misses in a row that take a host out. */
const MAX_MISSES = 2;

export class Balancer {
  #hosts;
  #misses = new Map();
  #timers;
  #next = 0;

  constructor(hosts) {
    this.#hosts = hosts;
    this.#timers = hosts.map((host) => {
      this.#misses.set(host, 0);
      return setInterval(() => void this.#probe(host), INTERVAL_MS);
    });
  }

  /** Host of the next new connection; undefined if none is in rotation. */
  pick() {
    const inRotation = this.#hosts.filter((host) =>
      this.#misses.get(host) < MAX_MISSES
    );
    this.#next += 1;
    return inRotation[this.#next % inRotation.length];
  }

  stop() {
    for (const timer of this.#timers) clearInterval(timer);
  }

  async #probe(host) {
    const answer = await calls.send(host.addresses.ready, "GET", "/readiness", {
      timeoutMs: INTERVAL_MS,
    }).catch(() => undefined);
    const isReady = answer?.status === 200;
    this.#misses.set(host, isReady ? 0 : this.#misses.get(host) + 1);
  }
}
