/** Difference of the clocks' advances that counts as a suspension, in ms. */
const JUMP_MS = 250;

/**
 * Notices that the host was suspended. The monotonic clock does not count that
 * time and the time of day does, so that a lease by the monotonic clock seems
 * to hold although others may lead by now. A step of the time of day looks the
 * same; it costs a pause.
 *
 * @example
 * ```ts
 * const guard = new SuspensionGuard(performance.now(), Date.now());
 * if (guard.hasJumped(performance.now(), Date.now())) renewLease();
 * ```
 */
export class SuspensionDetector {
  #difference: number;

  constructor(monotonicMs: number, wallMs: number) {
    this.#difference = wallMs - monotonicMs;
  }

  /** Whether the clocks have advanced differently since the last call. */
  hasClockJumped(monotonicMs: number, wallMs: number): boolean {
    const difference = wallMs - monotonicMs;
    const jump = Math.abs(difference - this.#difference);
    this.#difference = difference;
    return jump > JUMP_MS;
  }
}
