/**
 * Which requests a host that stops still begins, so that each of them ends before
 * the host does.
 *
 * @module
 */

/** Number of run times that are kept for each route. */
const KEPT_RUNS = 64;
/**
 * Time that a run is expected to need, in multiples of the longest recent run of
 * its route.
 */
const RUN_TIME_FACTOR = 1.25;
/**
 * Time for the answer that a server gives at its deadline to arrive before the
 * host ends what is left, in milliseconds.
 */
const SERVER_ANSWER_MS = 100;

/** State of a host that stops. */
export type DrainState = {
  /** Monotonic time at which it ends what still runs, in milliseconds. */
  readonly endsAt: number;
  /** Whether callers can still connect. */
  readonly isListening: boolean;
};

/** A request that is about to be sent to a server. */
export type StartingRequest = {
  /** Monotonic time at which its caller or route gives it up, in milliseconds. */
  readonly deadline: number;
  readonly isStream: boolean;
  /** Longest recent run of its route, in milliseconds, if one is known. */
  readonly longestRunMs: number | undefined;
};

/** Whether a request is sent to a server. */
export type StartDecision =
  | {
    readonly kind: "start";
    /** Monotonic time at which the server should stop work, in milliseconds. */
    readonly serverDeadline: number;
  }
  /** It might not end in time. */
  | { readonly kind: "refuse" };

/**
 * Decides whether a request is sent to a server. It is if it ends before the host
 * does, by its own deadline or as the recent runs of its route did. A request of
 * a route without recent runs is not, nor a stream that comes when callers can no
 * longer connect: a stream that has begun can only be cut, while any other
 * request gets an answer that its outcome is unknown.
 *
 * @example
 * ```ts
 * const request = { deadline: 20_000, isStream: false, longestRunMs: 800 };
 * decideStart(request, undefined, 0); // start, server deadline 20,000
 * const drain = { endsAt: 7_300, isListening: true };
 * decideStart(request, drain, 6_000); // start, server deadline 7,200
 * decideStart(request, drain, 6_500); // refuse
 * ```
 */
export function decideStart(
  request: StartingRequest,
  drain: DrainState | undefined,
  now: number,
): StartDecision {
  if (now > latestStartAt(request, drain)) return { kind: "refuse" };
  const endsAt = drain?.endsAt ?? Infinity;
  const serverDeadline = request.deadline <= endsAt
    ? request.deadline
    : endsAt - SERVER_ANSWER_MS;
  return { kind: "start", serverDeadline };
}

/**
 * The monotonic time until which {@link decideStart} lets a request start, in
 * milliseconds; negative infinity if it never does.
 */
export function latestStartAt(
  { deadline, isStream, longestRunMs }: StartingRequest,
  drain: DrainState | undefined,
): number {
  if (drain === undefined || deadline <= drain.endsAt) return Infinity;
  if (longestRunMs === undefined) return -Infinity;
  if (isStream && !drain.isListening) return -Infinity;
  return drain.endsAt - SERVER_ANSWER_MS - longestRunMs * RUN_TIME_FACTOR;
}

/** Recent run times by route. */
export class RunTimes {
  readonly #runs = new Map<string, number[]>();

  /** Records the time from sending a request to its end, in milliseconds. */
  record(route: string, ms: number): void {
    const runs = this.#runs.get(route) ?? [];
    runs.push(ms);
    if (runs.length > KEPT_RUNS) runs.shift();
    this.#runs.set(route, runs);
  }

  /** The longest recent run of a route, in milliseconds, if one is known. */
  longest(route: string): number | undefined {
    const runs = this.#runs.get(route);
    return runs === undefined ? undefined : Math.max(...runs);
  }

  /** Forgets all routes but some. */
  retain(routes: ReadonlySet<string>): void {
    for (const route of this.#runs.keys()) {
      if (!routes.has(route)) this.#runs.delete(route);
    }
  }
}
