/**
 * Weighted fair queue between workspaces: start-time fair queueing by tokens.
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

/** Bounds that suit a small entry host. */
export const DEFAULT_QUEUE_LIMITS: QueueLimits = {
  maxPerWorkspace: 2000,
  maxTotal: 10_000,
};

/**
 * Requests of mean size by which a workspace that left a part of its service
 * unused may later go before the others. Calls come in bursts, and without it
 * each second place goes to a workspace that always has requests waiting.
 */
export const IDLE_CREDIT_REQUESTS = 8;

/** Weight of the newest request in the mean size. */
const MEAN_WEIGHT = 0.1;

type Flow = {
  readonly backlog: Backlog;
  weight: number;
  /** Virtual time at which the workspace's service so far ends. */
  finish: number;
};

/**
 * Waiting requests of all workspaces at one host, for one kind of capacity.
 *
 * Requests of the most urgent tier go first. Among workspaces with requests of
 * the same urgency, the one with the least service relative to its weight is
 * next; service is counted in tokens over all tiers. Within a workspace and
 * tier the earliest deadline goes first. A request that has used up most of its
 * time to wait counts as most urgent.
 *
 * @example
 * ```ts
 * const queue = new FairQueue();
 * const result = queue.add(request, estimatedWaitMs, now);
 * const next = queue.take((request) => tryToStart(request), now);
 * ```
 */
export class FairQueue {
  readonly #bounds: QueueLimits;
  readonly #flows = new Map<string, Flow>();
  readonly #requests = new Map<string, WaitingRequest>();
  #virtualTime = 0;
  /** Mean service of a request, in tokens by weight. */
  #meanCost = 0;

  constructor(bounds: QueueLimits = DEFAULT_QUEUE_LIMITS) {
    this.#bounds = bounds;
  }

  /** Requests that wait. */
  get size(): number {
    return this.#requests.size;
  }

  /**
   * Adds a request, unless the queue is full or the request could not be
   * dispatched in time.
   *
   * @param estimatedWaitMs How long it would wait, as far as is known.
   */
  add(
    request: WaitingRequest,
    estimatedWaitMs: number,
    now: number,
  ): AddResult {
    if (now + estimatedWaitMs >= request.deadline) {
      return { kind: "too-late", estimatedWaitMs };
    }
    if (this.size >= this.#bounds.maxTotal) {
      return { kind: "full" };
    }
    const flow = this.#flows.get(request.workspace);
    if ((flow?.backlog.size ?? 0) >= this.#bounds.maxPerWorkspace) {
      return { kind: "workspace-full" };
    }
    this.#enqueue(request);
    return { kind: "queued" };
  }

  /** Takes out a request, as when its caller went away. */
  remove(id: string): WaitingRequest | undefined {
    const request = this.#requests.get(id);
    if (request !== undefined) {
      this.#dequeue(request);
    }
    return request;
  }

  /**
   * Offers requests for dispatch in fair order until `verdict` takes one, which
   * leaves the queue.
   */
  take(
    verdict: (request: WaitingRequest) => DispatchDecision,
    now: number,
  ): WaitingRequest | undefined {
    for (const flow of this.#flowsInOrder(now)) {
      for (const request of requestsInOrder(flow, now)) {
        const decision = verdict(request);
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

  /** Gives back service that was charged for tokens that were not used. */
  refund(workspace: string, tokens: number): void {
    const flow = this.#flows.get(workspace);
    if (flow !== undefined) {
      flow.finish = Math.max(0, flow.finish - tokens / flow.weight);
    }
  }

  /** When the next deadline comes, or nothing if no request waits. */
  nextDeadline(): number | undefined {
    let earliest = Infinity;
    for (const { backlog } of this.#flows.values()) {
      earliest = Math.min(earliest, backlog.earliestDeadline);
    }
    return earliest === Infinity ? undefined : earliest;
  }

  /** Takes out the requests whose deadline has come. */
  expire(now: number): WaitingRequest[] {
    const expired = [...this.#flows.values()]
      .flatMap(({ backlog }) => backlog.expired(now));
    expired.forEach((request) => this.#dequeue(request));
    return expired;
  }

  /** What waits of one workspace, or nothing. */
  backlogOf(workspace: string, now: number): WorkspaceBacklog | undefined {
    const backlog = this.#flows.get(workspace)?.backlog;
    const first = backlog?.first(now);
    if (backlog === undefined || first === undefined) {
      return undefined;
    }
    return { requests: backlog.size, tokens: backlog.tokens, first };
  }

  /**
   * Tokens that would be served before a request that is added now: those of
   * its own workspace that go before it, and of each other workspace as many as
   * its weight lets it have in that time.
   *
   * @param counts Which requests wait for the same capacity; all by default.
   */
  tokensBefore(
    request: WaitingRequest,
    now: number,
    counts: (other: WaitingRequest) => boolean = () => true,
  ): number {
    const own = this.#flows.get(request.workspace)?.backlog;
    const before = own?.tokensBefore(request, now, counts) ?? 0;
    let total = before;
    for (const [workspace, { backlog, weight }] of this.#flows) {
      if (workspace !== request.workspace) {
        const due = (before + request.tokens) * weight / request.weight;
        total += Math.min(due, backlog.tokensBefore(request, now, counts));
      }
    }
    return total;
  }

  #enqueue(request: WaitingRequest): void {
    const { workspace, weight } = request;
    const flow = this.#flows.get(workspace) ??
      { backlog: new Backlog(), weight, finish: 0 };
    flow.weight = weight;
    flow.finish = Math.max(flow.finish, this.#earliestStart());
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
    this.#meanCost = mean + MEAN_WEIGHT * (cost - mean);
    this.#virtualTime = Math.max(this.#virtualTime, flow.finish);
    flow.finish += cost;
    for (const [workspace, { backlog, finish }] of this.#flows) {
      if (backlog.size === 0 && finish <= this.#earliestStart()) {
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
        a.flow.finish - b.flow.finish ||
        a.first.deadline - b.first.deadline
      )
      .map(({ flow }) => flow);
  }

  /** Start of a workspace that has used little of its service. */
  #earliestStart(): number {
    const credit = IDLE_CREDIT_REQUESTS * this.#meanCost;
    return Math.max(0, this.#virtualTime - credit);
  }
}

/** The first request without sorting the others, which are rarely needed. */
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
