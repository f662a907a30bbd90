/**
 * Part of the time left that a caller stays away at most, as it is told to come
 * back: callers of the users' platform cut longer delays down to it.
 */
const MAX_AWAY_FRACTION = 1 / 3;

/** When the model of a request is ready, as the leader forecasts. */
export type ReadyForecast = {
  /** Time until then at the earliest, in milliseconds. */
  readonly readyMs: number;
  /** Whether a server loads it; undefined if the leader doesn't tell. */
  readonly isUnderWay: boolean | undefined;
};

/** Time that the caller of a waiting request has, in milliseconds. */
export type CallerTime = {
  /** Time until it gives up altogether. */
  readonly leftMs: number;
  /** Time until it gives up this attempt. */
  readonly patienceMs: number;
};

/** Whether a request waits, or its caller is told to come back. */
export type WaitDecision =
  | { readonly kind: "wait" }
  | {
    readonly kind: "return";
    /** Time after which it should, in milliseconds. */
    readonly afterMs: number;
  };

/**
 * Decides whether a request waits for its model. It does if the model can be
 * ready before its caller gives up; else the caller is told when it is.
 *
 * Where no load is under way, the forecast is only a lower bound, and the caller
 * is told to stay away for as long as it does: the later it comes, the more the
 * store and the disks have brought, and the later its second wait ends.
 *
 * Answers requests for rare models at the ceiling of the weight store.
 *
 * @example
 * ```ts
 * const time = { leftMs: 15_000, patienceMs: 2_400 };
 * decideWait({ readyMs: 4_000, isUnderWay: true }, time); // return after 4 s
 * ```
 */
export function decideWait(
  { isUnderWay, readyMs }: ReadyForecast,
  { leftMs, patienceMs }: CallerTime,
): WaitDecision {
  if (readyMs <= patienceMs) return { kind: "wait" };
  const afterMs = isUnderWay === false
    ? Math.max(readyMs, leftMs * MAX_AWAY_FRACTION)
    : readyMs;
  return { kind: "return", afterMs };
}

/**
 * Time until a caller comes back that is told to, in milliseconds.
 *
 * @param leftMs time until it gives up altogether, in milliseconds
 *
 * @example
 * ```ts
 * awayMs(12_000, 15_000); // 5_000
 * ```
 */
export function awayMs(afterMs: number, leftMs: number): number {
  return Math.min(afterMs, Math.max(0, leftMs) * MAX_AWAY_FRACTION);
}
