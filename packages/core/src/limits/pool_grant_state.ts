/**
 * Tracks whether shares of one pool may be granted, and how long it has been
 * idle.
 */
export class PoolGrantState {
  #isGrantable: boolean;
  /** Time at which the pool was last active or `isGrantable` last changed. */
  #activeAt: number;

  constructor(isGrantable: boolean, now: number) {
    this.#isGrantable = isGrantable;
    this.#activeAt = now;
  }

  /** Whether shares of the pool may be granted. */
  get isGrantable(): boolean {
    return this.#isGrantable;
  }

  /**
   * Allows or forbids grants. Before grants are forbidden, no share may be
   * live.
   */
  setGrantable(isGrantable: boolean, now: number): void {
    this.#isGrantable = isGrantable;
    this.#activeAt = now;
  }

  /**
   * Returns how long the pool has been idle, in milliseconds, as far as earlier
   * calls observed; zero if it is active now.
   */
  idleMs(isActive: boolean, now: number): number {
    if (isActive) this.#activeAt = now;
    return now - this.#activeAt;
  }
}
