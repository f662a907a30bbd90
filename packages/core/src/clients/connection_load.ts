/** What one connection holds, and since when nothing has come of it. */
export type ConnectionLoad = {
  /**
   * What the host waits for: a whole request, the first (`nothing`) or a later
   * one (`idle`), the rest of a body, or that its answers are read. On a `busy`
   * one the client waits for the host.
   */
  readonly state: "nothing" | "body" | "unread" | "idle" | "busy";
  /** Monotonic time of the last progress, in milliseconds. */
  readonly progressAt: number;
  /** Size of the body on its way, in bytes. */
  readonly bodyBytes: number;
  /** Size of the answers that are not read, in bytes. */
  readonly unreadBytes: number;
};

/**
 * Order in which connections make room for new ones. Clients that say nothing
 * lose nothing, and those that are served lose most.
 */
const CLOSING_ORDER = ["nothing", "body", "unread", "idle"] as const;

/**
 * Silence in the middle of a body, in milliseconds, after which it counts as
 * stalled: ten times the round trip between regions.
 */
const STALLED_BODY_MS = 1_000;

/**
 * Returns the connection that makes room for a new one: of the first kind that
 * there is, the one with the longest silence. Undefined if all are served.
 *
 * @example
 * ```ts
 * chooseSuperfluous(connections)?.close();
 * ```
 */
export function chooseSuperfluous<T extends ConnectionLoad>(
  connections: Iterable<T>,
): T | undefined {
  let chosen: T | undefined;
  let chosenRank: number = CLOSING_ORDER.length;
  for (const connection of connections) {
    const { progressAt, state } = connection;
    if (state === "busy") continue;
    const rank = CLOSING_ORDER.indexOf(state);
    const isEarlier = chosen === undefined || rank < chosenRank ||
      (rank === chosenRank && progressAt < chosen.progressAt);
    if (!isEarlier) continue;
    chosen = connection;
    chosenRank = rank;
  }
  return chosen;
}

/**
 * Returns the connection whose body is dropped when all together are too large:
 * the one that has stalled longest, otherwise the largest. A small body is not
 * dropped for the sake of large ones.
 *
 * @param now monotonic time in milliseconds
 */
export function chooseBody<T extends ConnectionLoad>(
  connections: Iterable<T>,
  now: number,
): T | undefined {
  let stalled: T | undefined;
  let largest: T | undefined;
  for (const connection of connections) {
    const { bodyBytes, progressAt } = connection;
    if (bodyBytes === 0) continue;
    if (bodyBytes > (largest?.bodyBytes ?? 0)) largest = connection;
    const isStalled = now - progressAt >= STALLED_BODY_MS;
    if (isStalled && progressAt < (stalled?.progressAt ?? Infinity)) {
      stalled = connection;
    }
  }
  return stalled ?? largest;
}

/** Returns the connection with the most bytes of unread answers. */
export function chooseReader<T extends ConnectionLoad>(
  connections: Iterable<T>,
): T | undefined {
  let chosen: T | undefined;
  for (const connection of connections) {
    if (connection.unreadBytes <= (chosen?.unreadBytes ?? 0)) continue;
    chosen = connection;
  }
  return chosen;
}
