/**
 * Admission of requests under the token rate of their workspace.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import * as waitRefusals from "./wait_refusals.ts";
import type * as types from "./types.ts";

/** The part of {@link core.limits.HostShares} that admission uses. */
export type TokenShares = Pick<
  core.limits.HostShares,
  "isConverged" | "reserve" | "settle" | "setWaitingTokens" | "tokenShare"
>;

/** Dependencies of {@link Admission}. */
export interface AdmissionOptions {
  readonly shares: TokenShares;
  /** Requests an early exchange with the leader, to obtain more tokens. */
  requestShares(): void;
  /** Whether the host's state is current, that is, confirmed by a leader. */
  isCurrent(): boolean;
  /** The monotonic clock, in milliseconds. */
  now?(): number;
}

/** Requests of one workspace that wait for tokens, in arrival order. */
interface WorkspaceQueue {
  readonly waiters: Waiter[];
  /** Measures the rate at which tokens are reserved. */
  readonly throughput: core.queue.ThroughputEstimator;
}

interface Waiter {
  readonly work: types.Work;
  readonly since: number;
  resolve(reservation: core.limits.Reservation): void;
  reject(refusal: protocol.errors.Refusal): void;
}

/** Reserves tokens for requests, first come, first served per workspace. */
export class Admission {
  readonly #options: AdmissionOptions;
  readonly #now: () => number;
  readonly #queues = new Map<string, WorkspaceQueue>();

  constructor(options: AdmissionOptions) {
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
  }

  /** Tokens for which requests of a workspace wait. */
  waitingTokens(workspace: string): number {
    const queue = this.#queues.get(workspace);
    return queue === undefined ? 0 : tokensOf(queue);
  }

  /** Iterates over the work that waits for tokens. */
  *waiting(): Generator<types.Work> {
    for (const queue of this.#queues.values()) {
      for (const waiter of queue.waiters) yield waiter.work;
    }
  }

  /**
   * Reserves the tokens of a request before its start deadline. Refuses at once
   * if the measured throughput shows that the deadline cannot be met.
   *
   * @param startBy Latest start of the request, in monotonic milliseconds.
   * @throws {protocol.errors.Refusal} the workspace has used up its rate, or
   *   the request exceeds the burst
   */
  async reserve(
    work: types.Work,
    workspace: string,
    signal: AbortSignal,
    startBy: number,
  ): Promise<core.limits.Reservation> {
    const now = this.#now();
    if (!this.#queues.has(workspace)) {
      const { tokens } = work;
      const result = this.#options.shares.reserve(workspace, tokens, now);
      if (result.kind === "reserved") return result.reservation;
    }
    const queue = this.#queueOf(workspace, now);
    const waitMs = this.#expectedWaitMs(workspace, queue, work, now);
    const lateMs = now + waitMs - startBy;
    if (waitMs > 0 && lateMs > 0) throw rateExceeded(work, workspace, lateMs);
    const reserved = new Promise<core.limits.Reservation>((resolve, reject) => {
      queue.waiters.push({ work, since: now, resolve, reject });
    });
    const refuse = (refusal: protocol.errors.Refusal) =>
      this.#remove(workspace, work, refusal);
    const timer = setTimeout(
      () => refuse(this.#timeoutRefusal(work, workspace)),
      startBy - now,
    );
    const abort = () => refuse(abortRefusal(signal));
    signal.addEventListener("abort", abort);
    this.#serveQueue(workspace, queue);
    if (queue.waiters.length > 0) this.#options.requestShares();
    try {
      return await reserved;
    } finally {
      clearTimeout(timer);
      signal.removeEventListener("abort", abort);
    }
  }

  /**
   * Subtracts returned tokens from the measured throughput: their request was
   * not run.
   */
  recordReturned(workspace: string, tokens: number): void {
    this.#queues.get(workspace)?.throughput.recordServed(-tokens, this.#now());
  }

  /** Serves the queues of all workspaces, after the shares have changed. */
  admitWaiting(): void {
    for (const [workspace, queue] of this.#queues) {
      this.#serveQueue(workspace, queue);
    }
  }

  /**
   * Estimates how long a request would wait for tokens, from the tokens queued
   * ahead of it and the throughput of the queue. Returns 0 while the throughput
   * is not known or the shares are unsettled.
   */
  #expectedWaitMs(
    workspace: string,
    queue: WorkspaceQueue,
    work: types.Work,
    now: number,
  ): number {
    const { shares } = this.#options;
    const throughput = queue.throughput.perMs(now);
    if (queue.waiters.length === 0 || throughput === undefined) return 0;
    if (!shares.isConverged(now)) return 0;
    const share = shares.tokenShare(workspace, now);
    const tokensAhead = tokensOf(queue) + work.tokens;
    return tokensAhead / Math.max(throughput, share.rate / 1_000);
  }

  #serveQueue(workspace: string, queue: WorkspaceQueue): void {
    const { waiters } = queue;
    while (waiters[0] !== undefined) {
      const head = waiters[0];
      const now = this.#now();
      const { tokens } = head.work;
      const result = this.#options.shares.reserve(workspace, tokens, now);
      if (result.kind === "wait") break;
      waiters.shift();
      if (result.kind === "reserved") {
        queue.throughput.recordServed(tokens, now);
        head.resolve(result.reservation);
      } else head.reject(exceedsBurst(head.work, result.burst));
    }
    this.#publishWaiting(workspace, queue);
  }

  #publishWaiting(workspace: string, queue: WorkspaceQueue): void {
    const { shares } = this.#options;
    const head = queue.waiters[0];
    if (head === undefined) {
      this.#queues.delete(workspace);
      shares.setWaitingTokens(workspace, undefined);
      return;
    }
    shares.setWaitingTokens(workspace, {
      tokens: tokensOf(queue),
      head: head.work.tokens,
      since: head.since,
    });
  }

  #remove(
    workspace: string,
    work: types.Work,
    refusal: protocol.errors.Refusal,
  ): void {
    const queue = this.#queues.get(workspace);
    const index = queue?.waiters.findIndex((waiter) => waiter.work === work) ??
      -1;
    if (queue === undefined || index < 0) return;
    const [waiter] = queue.waiters.splice(index, 1);
    waiter?.reject(refusal);
    this.#serveQueue(workspace, queue);
  }

  /** Without a leader, it is unknown whether the rate is used up. */
  #timeoutRefusal(
    work: types.Work,
    workspace: string,
  ): protocol.errors.Refusal {
    if (this.#options.isCurrent()) return rateExceeded(work, workspace, 0);
    return waitRefusals.noLeaderRefusal(
      "reserve",
      waitRefusals.RATE_RETRY_AFTER_S,
    );
  }

  #queueOf(workspace: string, now: number): WorkspaceQueue {
    const existing = this.#queues.get(workspace);
    if (existing !== undefined) return existing;
    const queue = {
      waiters: [],
      throughput: new core.queue.ThroughputEstimator(now),
    };
    this.#queues.set(workspace, queue);
    return queue;
  }
}

function tokensOf(queue: WorkspaceQueue): number {
  return queue.waiters.reduce((sum, { work }) => sum + work.tokens, 0);
}

/**
 * Returns the refusal of a request that was aborted: the one with which it was,
 * or else its caller has disconnected.
 *
 * @example
 * ```ts
 * if (signal.aborted) throw abortRefusal(signal);
 * ```
 */
export function abortRefusal(
  { reason }: AbortSignal,
): protocol.errors.Refusal {
  return reason instanceof protocol.errors.Refusal
    ? reason
    : callerDisconnected();
}

/**
 * Returns the refusal of a request whose caller has disconnected.
 *
 * @example
 * ```ts
 * throw callerDisconnected();
 * ```
 */
export function callerDisconnected(): protocol.errors.Refusal {
  return new protocol.errors.Refusal(
    protocol.errors.REQUEST_TIMEOUT,
    "the caller closed the connection",
    { step: "wait" },
  );
}

function rateExceeded(
  work: types.Work,
  workspace: string,
  lateMs: number,
): protocol.errors.Refusal {
  return new protocol.errors.Refusal(
    protocol.errors.RATE_EXCEEDED,
    `workspace ${workspace} has no ${work.tokens} tokens left in time`,
    {
      step: "reserve",
      retryAfterSeconds: Math.max(
        waitRefusals.RATE_RETRY_AFTER_S,
        lateMs / 1_000,
      ),
    },
  );
}

function exceedsBurst(
  work: types.Work,
  burst: number,
): protocol.errors.Refusal {
  return new protocol.errors.Refusal(
    protocol.errors.TOO_LARGE,
    `the request needs ${work.tokens} tokens at once; the burst is ${burst}`,
    { step: "reserve" },
  );
}
