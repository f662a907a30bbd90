/** Length of a window in which the longest stated time is kept, in ms. */
const WINDOW_MS = 30_000;
/**
 * By how much less than usual a caller that comes back states, in milliseconds:
 * the shortest delay that is told, less what callers round.
 */
const MIN_DIFFERENCE_MS = 100;

/** The longest time that callers of a route have stated, in two windows. */
type StatedTime = {
  readonly beganAt: number;
  readonly longestMs: number;
  readonly previousMs: number;
};

/**
 * Recognizes callers that come back by the time that they state to have left.
 * Each attempt has an id of its own and may go to another host, but its caller
 * states what is left of its time; new callers of a route state all of it.
 *
 * @example
 * ```ts
 * times.isReturning("letters", 35_000, now); // false
 * times.isReturning("letters", 23_000, now); // true
 * ```
 */
export class StatedTimes {
  readonly #routes = new Map<string, StatedTime>();

  /**
   * Records a request; returns whether its caller has likely come before. It
   * only decides who goes first of equals, as callers may state what they want.
   */
  isReturning(route: string, statedMs: number, now: number): boolean {
    const known = this.#routes.get(route) ??
      { beganAt: now, longestMs: 0, previousMs: 0 };
    const isOver = now - known.beganAt >= WINDOW_MS;
    const { beganAt, longestMs, previousMs } = isOver
      ? { beganAt: now, longestMs: 0, previousMs: known.longestMs }
      : known;
    this.#routes.set(route, {
      beganAt,
      longestMs: Math.max(longestMs, statedMs),
      previousMs,
    });
    const usualMs = Math.max(longestMs, previousMs);
    return statedMs < usualMs - MIN_DIFFERENCE_MS;
  }

  /** Forgets the routes that no longer exist. */
  retain(routes: ReadonlySet<string>): void {
    for (const route of this.#routes.keys()) {
      if (!routes.has(route)) this.#routes.delete(route);
    }
  }
}
