/**
 * Part of the time that a request may wait after which no later one of its
 * priority goes before it. The other half is left for a server to become free.
 */
const MAX_OVERTAKEN_FRACTION = 1 / 2;

/** A request that waits for a server of models. */
export type UnservedRequest = {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Monotonic time of its arrival, in milliseconds. */
  readonly arrivedAt: number;
  /** Latency objective of its first event, in milliseconds. */
  readonly objectiveMs: number;
  /** Monotonic time at which it stops waiting, in milliseconds. */
  readonly queueDeadline: number;
  /** Time from its start to its first event, in milliseconds. */
  readonly expectedMs: number;
  /** Whether its caller has been refused before and has come back. */
  readonly isReturning?: boolean;
};

/**
 * How soon a request has to start: `aged` ones have been passed long enough,
 * `pressed` ones have to now, `free` ones later, `late` ones have failed to.
 */
type Pressure = "aged" | "pressed" | "free" | "late";

/** In the order in which requests go. */
const PRESSURES: readonly Pressure[] = ["aged", "pressed", "free", "late"];

type Placed<Item> = UnservedRequest & {
  readonly item: Item;
  readonly rank: number;
  /** Time until its latest start, in milliseconds. */
  readonly slackMs: number;
};

/**
 * Orders the requests that wait for servers of models. First come those that
 * would be late if one more like them went before, then those that can wait,
 * then those that are late. Within each, the most urgent priority goes first; of
 * one priority, the earliest latest start among the pressed, the shortest among
 * those that can wait, the first to arrive among the late ones. So a patient
 * request passes an urgent one only when that one can wait, and a short one
 * passes a long one only while that costs it nothing.
 *
 * Of the same priority, callers that come back after a refusal go first among
 * those that can wait and those that are late: they have waited before, and are
 * not told to come back for ever. Among the pressed they do with equal slack.
 *
 * A request that has waited for half of the time that it may wait goes before all
 * of these: later ones of its priority no longer pass it.
 *
 * @example
 * ```ts
 * orderWaiting(queue, (queued) => describe(queued), performance.now());
 * ```
 */
export function orderWaiting<Item>(
  items: Iterable<Item>,
  describe: (item: Item) => UnservedRequest,
  now: number,
): Item[] {
  return [...items]
    .map((item) => place(item, describe(item), now))
    .sort(compare)
    .map(({ item }) => item);
}

function place<Item>(
  item: Item,
  waiting: UnservedRequest,
  now: number,
): Placed<Item> {
  const { arrivedAt, expectedMs, objectiveMs, queueDeadline } = waiting;
  const slackMs = arrivedAt + objectiveMs - expectedMs - now;
  const maxOvertakenMs = MAX_OVERTAKEN_FRACTION * (queueDeadline - arrivedAt);
  const pressure: Pressure = now - arrivedAt >= maxOvertakenMs
    ? "aged"
    : slackMs < 0
    ? "late"
    : slackMs <= expectedMs
    ? "pressed"
    : "free";
  return { ...waiting, item, rank: PRESSURES.indexOf(pressure), slackMs };
}

function compare(
  one: Placed<unknown>,
  other: Placed<unknown>,
): number {
  const byClass = one.rank - other.rank || one.priority - other.priority;
  if (byClass !== 0) return byClass;
  const byReturn = Number(other.isReturning ?? false) -
    Number(one.isReturning ?? false);
  const byArrival = one.arrivedAt - other.arrivedAt;
  switch (PRESSURES[one.rank]) {
    case "pressed":
      return one.slackMs - other.slackMs || byReturn || byArrival;
    case "free":
      return byReturn || one.expectedMs - other.expectedMs || byArrival;
    case "late":
      return byReturn || byArrival;
    default:
      return byArrival;
  }
}
