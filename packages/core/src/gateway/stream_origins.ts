import type { gateway } from "@ebonypath/protocol";
import type { GatewayState } from "./state.ts";

/**
 * Streams that are remembered at most: 48 MB, a seventh of the memory of a
 * control host on the users' platform.
 */
const MAX_STREAMS = 200_000;

/** Where a stream began, and for how long that is of use. */
type Entry = {
  readonly origin: gateway.StreamOrigin;
  /** Monotonic time, in milliseconds. */
  readonly expiresAt: number;
};

/**
 * Leader's record of where streams began that their callers may resume at another
 * host. Hosts report them while a service has servers of several software
 * versions. When there are too many, the oldest are forgotten, and can't be
 * resumed any more.
 *
 * @example
 * ```ts
 * origins.record(report.streams, now);
 * origins.find("7f3a", now); // { service: "advice", softwareVersion: "v1" }
 * ```
 */
export class StreamOrigins {
  readonly #entries = new Map<string, Entry>();

  /** Number of streams that are remembered. */
  get size(): number {
    return this.#entries.size;
  }

  /** Records the streams that a host reports. */
  record(streams: readonly gateway.ReportedStream[], now: number): void {
    for (const { id, remainingMs, ...origin } of streams) {
      const known = this.find(id, now);
      this.#entries.delete(id);
      this.#entries.set(id, {
        origin: known === undefined ? origin : merge(known, origin),
        expiresAt: now + remainingMs,
      });
    }
    this.#forgetOldest(now);
  }

  /** Where a stream began, if that is known. */
  find(id: string, now: number): gateway.StreamOrigin | undefined {
    const entry = this.#entries.get(id);
    return entry === undefined || now >= entry.expiresAt
      ? undefined
      : entry.origin;
  }

  /** Removes what is over, from the oldest on, and what exceeds the limit. */
  #forgetOldest(now: number): void {
    for (const [id, { expiresAt }] of this.#entries) {
      if (now < expiresAt && this.#entries.size <= MAX_STREAMS) return;
      this.#entries.delete(id);
    }
  }
}

/** Whether two streams began at the same service and software version. */
export function isSameOrigin(
  one: gateway.StreamOrigin,
  other: gateway.StreamOrigin,
): boolean {
  return one.service === other.service &&
    one.softwareVersion === other.softwareVersion;
}

/** Reports that contradict one another leave the version unknown. */
function merge(
  known: gateway.StreamOrigin,
  reported: gateway.StreamOrigin,
): gateway.StreamOrigin {
  return isSameOrigin(known, reported)
    ? reported
    : { ...reported, softwareVersion: null };
}

/**
 * Infers where a stream began of which nothing was reported: only one service and
 * one software version come into question. Otherwise `null`, never a guess.
 *
 * @param services the services that its route distributes requests to
 *
 * @example
 * ```ts
 * inferOrigin(["advice"], state)?.softwareVersion; // "v1"
 * ```
 */
export function inferOrigin(
  services: readonly string[],
  state: Pick<GatewayState, "softwareVersions">,
): gateway.StreamOrigin | null {
  const [service] = services;
  if (service === undefined || services.length > 1) return null;
  const [softwareVersion, ...others] = state.softwareVersions(service);
  if (softwareVersion === undefined || others.length > 0) return null;
  return { service, softwareVersion };
}
