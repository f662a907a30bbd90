/**
 * Whether shares of one pool may be granted, and since when none is of use.
 */
export class PoolGrantState {
  #isOpen: boolean;
  /** When the pool was last in use, or the gate last moved. */
  #usedAt: number;

  constructor(isOpen: boolean, now: number) {
    this.#isOpen = isOpen;
    this.#usedAt = now;
  }

  /** Whether shares may be granted. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** Opens or closes it; no share may be out where none may be granted. */
  set(isOpen: boolean, now: number): void {
    this.#isOpen = isOpen;
    this.#usedAt = now;
  }

  /**
   * For how long the pool has been without use, in milliseconds, as far as
   * earlier calls saw; zero if it is in use now.
   */
  unusedMs(isUsed: boolean, now: number): number {
    if (isUsed) this.#usedAt = now;
    return now - this.#usedAt;
  }
}
