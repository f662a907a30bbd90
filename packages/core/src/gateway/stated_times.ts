/** Length of a window in which the longest stated time is kept, in ms. */
const WINDOW_MS = 30_000;
/**
 * By how much less than usual a caller that comes back states, in milliseconds:
 * the shortest delay that is told, less what callers round.
 */
const MIN_DIFFERENCE_MS = 100;
/** Callers that have to have stated the longest time before it is the usual one. */
const MIN_USUAL = 3;
/** Part of a route's callers that state the usual time, at least. */
const MIN_USUAL_FRACTION = 3 / 4;

/** What the callers of a route have stated in one window. */
type StatedWindow = {
  readonly longestMs: number;
  /** Number of callers that stated the longest time. */
  readonly usual: number;
  readonly total: number;
};

/** What the callers of a route have stated lately. */
type StatedTime = {
  readonly beganAt: number;
  readonly current: StatedWindow;
  readonly previous: StatedWindow;
};

const EMPTY: StatedWindow = { longestMs: 0, usual: 0, total: 0 };

/**
 * Recognizes callers that come back by the time that they state to have left.
 * Each attempt has an id of its own and may go to another host, but its caller
 * states what is left of its time; new callers of a route state all of it. Where
 * callers of a route state various times, none is recognized.
 *
 * @example
 * ```ts
 * times.isReturning("letters", 35_000, now); // false
 * times.isReturning("letters", 23_000, now); // true after some of 35 s
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
      { beganAt: now, current: EMPTY, previous: EMPTY };
    const isOver = now - known.beganAt >= WINDOW_MS;
    const { beganAt, current, previous } = isOver
      ? { beganAt: now, current: EMPTY, previous: known.current }
      : known;
    this.#routes.set(route, {
      beganAt,
      current: withStated(current, statedMs),
      previous,
    });
    const usual = merge(current, previous);
    const isKnown = usual.usual >= MIN_USUAL &&
      usual.usual >= usual.total * MIN_USUAL_FRACTION;
    return isKnown && statedMs < usual.longestMs - MIN_DIFFERENCE_MS;
  }

  /** Forgets the routes that no longer exist. */
  retain(routes: ReadonlySet<string>): void {
    for (const route of this.#routes.keys()) {
      if (!routes.has(route)) this.#routes.delete(route);
    }
  }
}

function withStated(stated: StatedWindow, statedMs: number): StatedWindow {
  return merge(stated, { longestMs: statedMs, usual: 1, total: 1 });
}

function merge(one: StatedWindow, other: StatedWindow): StatedWindow {
  const longestMs = Math.max(one.longestMs, other.longestMs);
  const usual = [one, other]
    .filter((stated) => stated.longestMs >= longestMs - MIN_DIFFERENCE_MS)
    .reduce((sum, stated) => sum + stated.usual, 0);
  return { longestMs, usual, total: one.total + other.total };
}
