/** Time after which a silent host's clock no longer counts, in milliseconds. */
const MAX_SILENCE_MS = 30_000;

type HostClock = {
  /** Time of day at the host minus the monotonic time here, in ms. */
  readonly offsetMs: number;
  /** Monotonic time of the reading, in milliseconds. */
  readonly readAt: number;
};

/**
 * Time of day as most hosts have it. A host whose clock was stepped doesn't
 * change it, nor does the own one, which counts only while no other is known.
 * Readings count from their arrival, so the result lies behind by the way of a
 * message, some milliseconds.
 *
 * @example
 * ```ts
 * clock.record("entry-1", report.wallMs, performance.now());
 * clock.timeMs({ monotonicMs: performance.now(), wallMs: Date.now() });
 * ```
 */
export class FleetClock {
  readonly #hosts = new Map<string, HostClock>();

  /** Hosts whose time of day is known. */
  get hostCount(): number {
    return this.#hosts.size;
  }

  /** Records a host's time of day, in milliseconds since 1970. */
  record(host: string, wallMs: number, now: number): void {
    this.#hosts.set(host, { offsetMs: wallMs - now, readAt: now });
  }

  /** Drops all readings, because the monotonic clock here has stood still. */
  reset(): void {
    this.#hosts.clear();
  }

  /**
   * Time of day in milliseconds since 1970.
   *
   * @param own both clocks of this host
   */
  timeMs(
    own: { readonly monotonicMs: number; readonly wallMs: number },
  ): number {
    const now = own.monotonicMs;
    for (const [host, { readAt }] of this.#hosts) {
      if (now - readAt > MAX_SILENCE_MS) this.#hosts.delete(host);
    }
    const offsets = [...this.#hosts.values()].map(({ offsetMs }) => offsetMs);
    offsets.sort((a, b) => a - b);
    // Of two in the middle the earlier one: a window must not be closed early.
    const median = offsets[Math.floor((offsets.length - 1) / 2)];
    return median === undefined ? own.wallMs : now + median;
  }
}
