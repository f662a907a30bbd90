/**
 * Deadline-ordered queue of the waiting requests of one workspace.
 *
 * @module
 */

import type { WaitingRequest } from "./types.ts";

/**
 * Remaining fraction of a request's maximum waiting time at which it is
 * promoted to the highest urgency. Promotion keeps higher tiers from starving
 * lower ones.
 */
const PROMOTION_FRACTION = 0.2;

/** Waiting requests of one workspace, ordered by urgency, then by deadline. */
export class Backlog {
  readonly #byUrgency = new Map<number, WaitingRequest[]>();
  #tokens = 0;
  #size = 0;

  /** Number of waiting requests. */
  get size(): number {
    return this.#size;
  }

  /** Tokens reserved by all waiting requests. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Earliest deadline of any request; `Infinity` if the backlog is empty. */
  get earliestDeadline(): number {
    let earliest = Infinity;
    for (const [first] of this.#byUrgency.values()) {
      earliest = Math.min(earliest, first!.deadline);
    }
    return earliest;
  }

  add(request: WaitingRequest): void {
    const requests = this.#byUrgency.get(request.urgency) ?? [];
    this.#byUrgency.set(request.urgency, requests);
    requests.splice(insertionIndex(request, requests), 0, request);
    this.#tokens += request.tokens;
    this.#size++;
  }

  remove(request: WaitingRequest): void {
    const requests = this.#byUrgency.get(request.urgency) ?? [];
    const index = requests.indexOf(request);
    if (index < 0) {
      return;
    }
    requests.splice(index, 1);
    if (requests.length === 0) {
      this.#byUrgency.delete(request.urgency);
    }
    this.#tokens -= request.tokens;
    this.#size--;
  }

  /** Requests whose deadline is at or before `now`. */
  expired(now: number): WaitingRequest[] {
    return [...this.#byUrgency.values()].flatMap((requests) => {
      const end = requests.findIndex(({ deadline }) => deadline > now);
      return requests.slice(0, end < 0 ? requests.length : end);
    });
  }

  /** All requests in dispatch order. */
  inOrder(now: number): WaitingRequest[] {
    return [...this.#byUrgency.values()].flat()
      .sort((a, b) => compareDispatchOrder(a, b, now));
  }

  /** Request that is next in dispatch order. */
  first(now: number): WaitingRequest | undefined {
    let best: WaitingRequest | undefined;
    for (const [first] of this.#byUrgency.values()) {
      if (best === undefined || compareDispatchOrder(first!, best, now) < 0) {
        best = first!;
      }
    }
    return best;
  }

  /**
   * Tokens of the requests that would be dispatched before `request`.
   *
   * @param isCounted Selects the requests to include.
   */
  tokensBefore(
    request: WaitingRequest,
    now: number,
    isCounted: (other: WaitingRequest) => boolean,
  ): number {
    let tokens = 0;
    for (const requests of this.#byUrgency.values()) {
      for (const other of requests) {
        if (
          isCounted(other) && compareDispatchOrder(other, request, now) <= 0
        ) {
          tokens += other.tokens;
        }
      }
    }
    return tokens;
  }
}

/** Effective urgency: 0 (highest) once the request is close to its deadline. */
export function urgencyOf(request: WaitingRequest, now: number): number {
  const { deadline, queuedAt, urgency } = request;
  const promotedAt = deadline - (deadline - queuedAt) * PROMOTION_FRACTION;
  return now >= promotedAt ? 0 : urgency;
}

function compareDispatchOrder(
  a: WaitingRequest,
  b: WaitingRequest,
  now: number,
): number {
  return urgencyOf(a, now) - urgencyOf(b, now) || a.deadline - b.deadline;
}

/** Binary search that keeps requests with equal deadlines in arrival order. */
function insertionIndex(
  request: WaitingRequest,
  requests: readonly WaitingRequest[],
): number {
  let low = 0;
  let high = requests.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (requests[middle]!.deadline <= request.deadline) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}
