import type { ClockReading } from "./borrowed_units.ts";

/**
 * Tracks when what a host knows from the leader was last known to be current.
 *
 * The leader's answer to a request shows what was current at some time after the
 * request was sent. The age counts from then, not from the arrival of the answer,
 * which may have been delayed. It is measured by both clocks, since the monotonic
 * clock stops while the host is suspended.
 *
 * @example
 * ```ts
 * freshness.confirm(requestedAt, heldMs);
 * if (freshness.ageMs(readClocks()) > MAX_AGE_MS) await askLeader();
 * ```
 */
export class Freshness {
  #confirmedAt: ClockReading | undefined;

  /**
   * Records an answer of the leader.
   *
   * @param heldMs time that the leader held the request before it answered
   */
  confirm(requestedAt: ClockReading, heldMs = 0): void {
    const monotonicMs = requestedAt.monotonicMs + heldMs;
    if (monotonicMs <= (this.#confirmedAt?.monotonicMs ?? -Infinity)) return;
    this.#confirmedAt = { monotonicMs, wallMs: requestedAt.wallMs + heldMs };
  }

  /**
   * Time since the last confirmation, in milliseconds; `Infinity` before the
   * first one.
   */
  ageMs(now: ClockReading): number {
    if (this.#confirmedAt === undefined) return Infinity;
    return Math.max(
      now.monotonicMs - this.#confirmedAt.monotonicMs,
      now.wallMs - this.#confirmedAt.wallMs,
    );
  }
}
