/** Difference between the clocks' advances that counts as a jump, in ms. */
const JUMP_MS = 250;

/**
 * Detects that the host was suspended. The monotonic clock stops during a
 * suspension and the wall clock doesn't, so a lease measured by the monotonic
 * clock appears valid although another host may lead by now. A step of the wall
 * clock is detected as well; treating it as a suspension only costs a pause.
 *
 * @example
 * ```ts
 * const detector = new SuspensionDetector(performance.now(), Date.now());
 * if (detector.hasClockJumped(performance.now(), Date.now())) renewLease();
 * ```
 */
export class SuspensionDetector {
  /** Wall clock minus monotonic clock at the last call. */
  #offset: number;

  constructor(monotonicMs: number, wallMs: number) {
    this.#offset = wallMs - monotonicMs;
  }

  /** Whether the clocks have advanced differently since the last call. */
  hasClockJumped(monotonicMs: number, wallMs: number): boolean {
    const offset = wallMs - monotonicMs;
    const jump = Math.abs(offset - this.#offset);
    this.#offset = offset;
    return jump > JUMP_MS;
  }
}
