/**
 * The waiting requests of one workspace.
 *
 * @module
 */

import type { WaitingRequest } from "./types.ts";

/**
 * Part of its waiting time that a request may have left for it to be treated
 * as most urgent, so that no tier is starved by the tiers above it.
 */
const PROMOTION_FRACTION = 0.2;

/** The waiting requests of one workspace, by urgency and then by deadline. */
export class Backlog {
  readonly #byUrgency = new Map<number, WaitingRequest[]>();
  #tokens = 0;
  #size = 0;

  get size(): number {
    return this.#size;
  }

  get tokens(): number {
    return this.#tokens;
  }

  /** Earliest deadline of all requests. */
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
    requests.splice(positionFor(request, requests), 0, request);
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

  /** Requests whose deadline has come. */
  expired(now: number): WaitingRequest[] {
    return [...this.#byUrgency.values()].flatMap((requests) => {
      const end = requests.findIndex(({ deadline }) => deadline > now);
      return requests.slice(0, end < 0 ? requests.length : end);
    });
  }

  /** All requests in the order in which they should be dispatched. */
  inOrder(now: number): WaitingRequest[] {
    return [...this.#byUrgency.values()].flat()
      .sort((a, b) => compare(a, b, now));
  }

  /** The request that should be dispatched first. */
  first(now: number): WaitingRequest | undefined {
    let best: WaitingRequest | undefined;
    for (const [first] of this.#byUrgency.values()) {
      if (best === undefined || compare(first!, best, now) < 0) {
        best = first!;
      }
    }
    return best;
  }

  /** Tokens of the requests that would be dispatched before this one. */
  tokensBefore(
    request: WaitingRequest,
    now: number,
    counts: (other: WaitingRequest) => boolean,
  ): number {
    let tokens = 0;
    for (const requests of this.#byUrgency.values()) {
      for (const other of requests) {
        if (counts(other) && compare(other, request, now) <= 0) {
          tokens += other.tokens;
        }
      }
    }
    return tokens;
  }
}

/** Urgency of a request, which rises to the highest as its deadline nears. */
export function urgencyOf(request: WaitingRequest, now: number): number {
  const { deadline, queuedAt, urgency } = request;
  const promotedAt = deadline - (deadline - queuedAt) * PROMOTION_FRACTION;
  return now >= promotedAt ? 0 : urgency;
}

function compare(a: WaitingRequest, b: WaitingRequest, now: number): number {
  return urgencyOf(a, now) - urgencyOf(b, now) || a.deadline - b.deadline;
}

function positionFor(
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
