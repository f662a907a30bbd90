/**
 * Weighted fair queueing between workspaces: start-time fair queueing (SFQ)
 * with cost measured in tokens.
 *
 * @module
 */

import { Backlog, urgencyOf } from "./backlog.ts";
import type {
  AddResult,
  DispatchDecision,
  QueueLimits,
  WaitingRequest,
  WorkspaceBacklog,
} from "./types.ts";

/** Default limits, sized for a small entry host. */
export const DEFAULT_QUEUE_LIMITS: QueueLimits = {
  maxPerWorkspace: 2000,
  maxTotal: 10_000,
};

/**
 * Maximum credit for unused service, in requests of mean cost. A workspace that
 * has used less service than it was due may be dispatched ahead of the others
 * by up to this amount. Calls come in bursts: without the credit, every second
 * dispatch in a burst goes to a workspace that always has requests waiting.
 */
export const IDLE_CREDIT_REQUESTS = 8;

/** Weight of the latest request in the moving average of request cost. */
const MEAN_COST_WEIGHT = 0.1;

type Flow = {
  readonly backlog: Backlog;
  weight: number;
  /** Finish tag: virtual time at which the service charged so far ends. */
  finishTag: number;
};

/**
 * Waiting requests of all workspaces on one host, for one kind of capacity.
 *
 * The most urgent tier is dispatched first. Among workspaces whose first
 * request has the same urgency, the one that has received the least service
 * relative to its weight is next; service is counted in tokens across all
 * tiers. Within a workspace and tier, the earliest deadline is first. A request
 * that has used most of its waiting time is promoted to the highest urgency.
 *
 * @example
 * ```ts
 * const queue = new FairQueue();
 * const result = queue.add(request, estimatedWaitMs, now);
 * const next = queue.take((request) => tryStart(request), now);
 * ```
 */
export class FairQueue {
  readonly #limits: QueueLimits;
  readonly #flows = new Map<string, Flow>();
  readonly #requests = new Map<string, WaitingRequest>();
  #virtualTime = 0;
  /** Moving average of request cost, in tokens divided by weight. */
  #meanCost = 0;

  constructor(limits: QueueLimits = DEFAULT_QUEUE_LIMITS) {
    this.#limits = limits;
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.#requests.size;
  }

  /**
   * Adds a request, unless the queue is full or the request is not expected to
   * be dispatched before its deadline.
   *
   * @param estimatedWaitMs Estimated waiting time; 0 if it is unknown.
   */
  add(
    request: WaitingRequest,
    estimatedWaitMs: number,
    now: number,
  ): AddResult {
    if (now + estimatedWaitMs >= request.deadline) {
      return { kind: "too-late", estimatedWaitMs };
    }
    if (this.size >= this.#limits.maxTotal) {
      return { kind: "full" };
    }
    const flow = this.#flows.get(request.workspace);
    if ((flow?.backlog.size ?? 0) >= this.#limits.maxPerWorkspace) {
      return { kind: "workspace-full" };
    }
    this.#enqueue(request);
    return { kind: "queued" };
  }

  /** Removes a request, for example after its caller has disconnected. */
  remove(id: string): WaitingRequest | undefined {
    const request = this.#requests.get(id);
    if (request !== undefined) {
      this.#dequeue(request);
    }
    return request;
  }

  /**
   * Offers requests to `decide` in fair order. Removes and returns the first
   * one that it takes, and charges its tokens to the workspace.
   */
  take(
    decide: (request: WaitingRequest) => DispatchDecision,
    now: number,
  ): WaitingRequest | undefined {
    for (const flow of this.#flowsInOrder(now)) {
      for (const request of requestsInOrder(flow, now)) {
        const decision = decide(request);
        if (decision === "take") {
          this.#charge(flow, request);
          this.#dequeue(request);
          return request;
        }
        if (decision === "stop") {
          return undefined;
        }
        if (decision === "next-workspace") {
          break;
        }
      }
    }
    return undefined;
  }

  /** Refunds a workspace for charged tokens that were not used. */
  refund(workspace: string, tokens: number): void {
    const flow = this.#flows.get(workspace);
    if (flow !== undefined) {
      flow.finishTag = Math.max(0, flow.finishTag - tokens / flow.weight);
    }
  }

  /** Earliest deadline of all waiting requests; undefined if there are none. */
  nextDeadline(): number | undefined {
    let earliest = Infinity;
    for (const { backlog } of this.#flows.values()) {
      earliest = Math.min(earliest, backlog.earliestDeadline);
    }
    return earliest === Infinity ? undefined : earliest;
  }

  /** Removes and returns the requests whose deadline has been reached. */
  expire(now: number): WaitingRequest[] {
    const expired = [...this.#flows.values()]
      .flatMap(({ backlog }) => backlog.expired(now));
    expired.forEach((request) => this.#dequeue(request));
    return expired;
  }

  /** Backlog of one workspace; undefined if none of its requests wait. */
  backlogOf(workspace: string, now: number): WorkspaceBacklog | undefined {
    const backlog = this.#flows.get(workspace)?.backlog;
    const first = backlog?.first(now);
    if (backlog === undefined || first === undefined) {
      return undefined;
    }
    return { requests: backlog.size, tokens: backlog.tokens, first };
  }

  /**
   * Estimates the tokens that would be served before a request that is added
   * now: those ahead of it in its own workspace, and from each other workspace
   * at most the tokens that its weight entitles it to in the meantime.
   *
   * @param isCounted Selects requests that wait for the same capacity; by
   *   default, all of them.
   */
  tokensBefore(
    request: WaitingRequest,
    now: number,
    isCounted: (other: WaitingRequest) => boolean = () => true,
  ): number {
    const own = this.#flows.get(request.workspace)?.backlog;
    const before = own?.tokensBefore(request, now, isCounted) ?? 0;
    let total = before;
    for (const [workspace, { backlog, weight }] of this.#flows) {
      if (workspace !== request.workspace) {
        const entitled = (before + request.tokens) * weight / request.weight;
        total += Math.min(
          entitled,
          backlog.tokensBefore(request, now, isCounted),
        );
      }
    }
    return total;
  }

  #enqueue(request: WaitingRequest): void {
    const { workspace, weight } = request;
    const flow = this.#flows.get(workspace) ??
      { backlog: new Backlog(), weight, finishTag: 0 };
    flow.weight = weight;
    flow.finishTag = Math.max(flow.finishTag, this.#minFinishTag());
    flow.backlog.add(request);
    this.#flows.set(workspace, flow);
    this.#requests.set(request.id, request);
  }

  #dequeue(request: WaitingRequest): void {
    this.#requests.delete(request.id);
    this.#flows.get(request.workspace)?.backlog.remove(request);
    if (this.size === 0) {
      this.#flows.clear();
      this.#virtualTime = 0;
    }
  }

  #charge(flow: Flow, request: WaitingRequest): void {
    const cost = request.tokens / flow.weight;
    const mean = this.#meanCost === 0 ? cost : this.#meanCost;
    this.#meanCost = mean + MEAN_COST_WEIGHT * (cost - mean);
    this.#virtualTime = Math.max(this.#virtualTime, flow.finishTag);
    flow.finishTag += cost;
    for (const [workspace, { backlog, finishTag }] of this.#flows) {
      if (backlog.size === 0 && finishTag <= this.#minFinishTag()) {
        this.#flows.delete(workspace);
      }
    }
  }

  #flowsInOrder(now: number): Flow[] {
    return [...this.#flows.values()]
      .flatMap((flow) => {
        const first = flow.backlog.first(now);
        return first === undefined ? [] : [{ flow, first }];
      })
      .sort((a, b) =>
        urgencyOf(a.first, now) - urgencyOf(b.first, now) ||
        a.flow.finishTag - b.flow.finishTag ||
        a.first.deadline - b.first.deadline
      )
      .map(({ flow }) => flow);
  }

  /** Lowest finish tag that a workspace may have, given the maximum credit. */
  #minFinishTag(): number {
    const credit = IDLE_CREDIT_REQUESTS * this.#meanCost;
    return Math.max(0, this.#virtualTime - credit);
  }
}

/**
 * Yields requests in dispatch order. Sorts them only after the first one has
 * not been taken, which is rare.
 */
function* requestsInOrder(flow: Flow, now: number): Generator<WaitingRequest> {
  const first = flow.backlog.first(now);
  if (first === undefined) {
    return;
  }
  yield first;
  for (const request of flow.backlog.inOrder(now)) {
    if (request !== first) {
      yield request;
    }
  }
}
