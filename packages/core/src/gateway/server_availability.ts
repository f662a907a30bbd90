import type { gateway } from "@ebonypath/protocol";
import * as suspicion from "../suspicion/mod.ts";

/** Delay before the first probe of an unreachable server, in milliseconds. */
const FIRST_PROBE_MS = 100;
/** Longest delay between two probes, in milliseconds. */
const MAX_PROBE_DELAY_MS = 4_000;
/** Longest time for which a server may close itself to a host, in ms. */
const MAX_CLOSED_MS = 3_600_000;
/**
 * Time over which hosts spread their return to a server that has closed itself to
 * all of them at once, in milliseconds.
 */
const RETURN_SPREAD_MS = 250;
/** Most servers on record; the least recent ones are dropped. */
const MAX_SERVERS = 20_000;

/** Whether a host may send requests to a server. */
export type Availability =
  | { readonly kind: "available" }
  /** It has said that it leaves. */
  | { readonly kind: "leaving" }
  /** It has asked this host to stay away for a time. */
  | {
    readonly kind: "closed";
    /** Time until it may be sent requests, in milliseconds. */
    readonly remainingMs: number;
  }
  /** No connection to it could be opened. */
  | {
    readonly kind: "unreachable";
    /** Whether it is time to try another connection, without a request. */
    readonly isProbeDue: boolean;
  };

/** What one start of a server has said, and how connections to it went. */
type Entry = {
  readonly born: number;
  isLeaving: boolean;
  /** Monotonic time, in milliseconds. */
  closedUntil: number;
  /** Connections in a row that could not be opened. */
  failures: number;
  /** Monotonic time of the next probe, in milliseconds. */
  probeAt: number;
};

const AVAILABLE: Availability = { kind: "available" };

/**
 * One host's record of servers that want no requests or can't be reached, as
 * their answers and connections tell. It holds whatever a leader says, until the
 * server starts anew.
 *
 * @example
 * ```ts
 * availability.recordClosed({ id: "s1", born: 7 }, 2_000, now, Math.random());
 * availability.of({ id: "s1", born: 7 }, now); // { kind: "closed", ... }
 * ```
 */
export class ServerAvailability {
  readonly #entries = new Map<string, Entry>();
  /** Monotonic time from which on no server is closed, in milliseconds. */
  #lastClosedUntil = -Infinity;

  /** Whether any server is closed. */
  hasClosed(now: number): boolean {
    return now < this.#lastClosedUntil;
  }

  /** Whether a start of a server may be sent requests. */
  of({ born, id }: gateway.ServerStart, now: number): Availability {
    const entry = this.#entries.get(id);
    if (entry === undefined || entry.born < born) return AVAILABLE;
    if (entry.isLeaving) return { kind: "leaving" };
    if (entry.failures > 0) {
      return { kind: "unreachable", isProbeDue: now >= entry.probeAt };
    }
    return now < entry.closedUntil
      ? { kind: "closed", remainingMs: entry.closedUntil - now }
      : AVAILABLE;
  }

  /** Ids of the servers that have said that they leave. */
  *leavingServers(): Generator<string> {
    for (const [id, { isLeaving }] of this.#entries) if (isLeaving) yield id;
  }

  /** Records that a server has said that it leaves. */
  recordLeaving(server: gateway.ServerStart): void {
    this.#entryOf(server).isLeaving = true;
  }

  /**
   * Records that a server wants nothing from this host for a time.
   *
   * @param ms the time from now, in milliseconds
   * @param random from 0 to 1; different at each host
   */
  recordClosed(
    server: gateway.ServerStart,
    ms: number,
    now: number,
    random: number,
  ): void {
    const entry = this.#entryOf(server);
    const closedMs = Math.min(ms, MAX_CLOSED_MS) + random * RETURN_SPREAD_MS;
    entry.closedUntil = Math.max(entry.closedUntil, now + closedMs);
    this.#lastClosedUntil = Math.max(this.#lastClosedUntil, entry.closedUntil);
  }

  /** Records that no connection to a server could be opened. */
  recordUnreachable(server: gateway.ServerStart, now: number): void {
    const entry = this.#entryOf(server);
    const delayMs = FIRST_PROBE_MS * 2 ** entry.failures;
    entry.failures += 1;
    entry.probeAt = now + Math.min(delayMs, MAX_PROBE_DELAY_MS);
  }

  /** Records that a connection to a server could be opened. */
  recordReachable({ born, id }: gateway.ServerStart): void {
    const entry = this.#entries.get(id);
    if (entry !== undefined && entry.born <= born) entry.failures = 0;
  }

  #entryOf({ born, id }: gateway.ServerStart): Entry {
    const known = this.#entries.get(id);
    const entry = known !== undefined && known.born >= born ? known : {
      born,
      isLeaving: false,
      closedUntil: -Infinity,
      failures: 0,
      probeAt: -Infinity,
    };
    suspicion.setNewest(this.#entries, id, entry, MAX_SERVERS);
    return entry;
  }
}
