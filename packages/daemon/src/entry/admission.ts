/**
 * Waiting for tokens of a workspace's rate.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import * as waitRefusals from "./wait_refusals.ts";
import type * as types from "./types.ts";

/** A share that may be had after this time, in seconds. */
const RETRY_AFTER_S = 1;

/** The part of {@link core.limits.ShareHolder} that admission uses. */
export type TokenShares = Pick<
  core.limits.ShareHolder,
  "isSettled" | "reserve" | "settle" | "setWaitingTokens" | "tokenShare"
>;

/** What admission works with. */
export interface AdmissionOptions {
  readonly shares: TokenShares;
  /** Asks the leader for more, soon. */
  requestShares(): void;
  /** Whether the host hears a leader. */
  isCurrent(): boolean;
  /** The monotonic clock, in milliseconds. */
  now?(): number;
}

/** Requests of one workspace, in the order of their arrival. */
interface Line {
  readonly waiters: Waiter[];
  /** Counts the tokens that were reserved. */
  readonly supply: core.queue.ThroughputEstimator;
}

interface Waiter {
  readonly work: types.Work;
  readonly since: number;
  resolve(reservation: core.limits.Reservation): void;
  reject(refusal: protocol.errors.Refusal): void;
}

/** Reserves tokens; requests of one workspace are served in their order. */
export class Admission {
  readonly #options: AdmissionOptions;
  readonly #now: () => number;
  readonly #lines = new Map<string, Line>();

  constructor(options: AdmissionOptions) {
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
  }

  /** Works that wait for tokens. */
  *waiting(): Generator<types.Work> {
    for (const line of this.#lines.values()) {
      for (const waiter of line.waiters) yield waiter.work;
    }
  }

  /**
   * Reserves the tokens of a request in time. What cannot have them in time, as
   * far as is known, is refused at once.
   *
   * @param startBy When the request must have started; monotonic.
   * @throws {protocol.errors.Refusal} the rate is used up
   */
  async reserve(
    work: types.Work,
    workspace: string,
    signal: AbortSignal,
    startBy: number,
  ): Promise<core.limits.Reservation> {
    const now = this.#now();
    if (!this.#lines.has(workspace)) {
      const { tokens } = work;
      const result = this.#options.shares.reserve(workspace, tokens, now);
      if (result.kind === "reserved") return result.reservation;
    }
    const line = this.#lineOf(workspace, now);
    const waitMs = this.#expectedWaitMs(workspace, line, work, now);
    const lateMs = now + waitMs - startBy;
    if (waitMs > 0 && lateMs > 0) throw rateExceeded(work, workspace, lateMs);
    const entered = new Promise<core.limits.Reservation>((resolve, reject) => {
      line.waiters.push({ work, since: now, resolve, reject });
    });
    const leave = (refusal: protocol.errors.Refusal) =>
      this.#remove(workspace, work, refusal);
    const timer = setTimeout(
      () => leave(this.#refusalOf(work, workspace)),
      startBy - now,
    );
    const abort = () => leave(callerDisconnected());
    signal.addEventListener("abort", abort);
    this.#serve(workspace, line);
    if (line.waiters.length > 0) this.#options.requestShares();
    try {
      return await entered;
    } finally {
      clearTimeout(timer);
      signal.removeEventListener("abort", abort);
    }
  }

  /** Notes that tokens were reserved in vain: their request was not run. */
  recordReturned(workspace: string, tokens: number): void {
    this.#lines.get(workspace)?.supply.recordServed(-tokens, this.#now());
  }

  /** Serves all lines, after the shares have changed. */
  admitWaiting(): void {
    for (const [workspace, line] of this.#lines) this.#serve(workspace, line);
  }

  /**
   * How long a request would wait for tokens, from what waits before it and how
   * fast that is served; 0 while that is not known.
   */
  #expectedWaitMs(
    workspace: string,
    line: Line,
    work: types.Work,
    now: number,
  ): number {
    const { shares } = this.#options;
    const supply = line.supply.perMs(now);
    if (line.waiters.length === 0 || supply === undefined) return 0;
    if (!shares.isSettled(now)) return 0;
    const share = shares.tokenShare(workspace, now);
    const before = tokensOf(line) + work.tokens;
    return before / Math.max(supply, share.rate / 1_000);
  }

  #serve(workspace: string, line: Line): void {
    const { waiters } = line;
    while (waiters[0] !== undefined) {
      const head = waiters[0];
      const now = this.#now();
      const { tokens } = head.work;
      const result = this.#options.shares.reserve(workspace, tokens, now);
      if (result.kind === "wait") break;
      waiters.shift();
      if (result.kind === "reserved") {
        line.supply.recordServed(tokens, now);
        head.resolve(result.reservation);
      } else head.reject(overBurst(head.work, result.burst));
    }
    this.#publish(workspace, line);
  }

  #publish(workspace: string, line: Line): void {
    const { shares } = this.#options;
    const head = line.waiters[0];
    if (head === undefined) {
      this.#lines.delete(workspace);
      shares.setWaitingTokens(workspace, undefined);
      return;
    }
    shares.setWaitingTokens(workspace, {
      tokens: tokensOf(line),
      head: head.work.tokens,
      since: head.since,
    });
  }

  #remove(
    workspace: string,
    work: types.Work,
    refusal: protocol.errors.Refusal,
  ): void {
    const line = this.#lines.get(workspace);
    const index = line?.waiters.findIndex((waiter) => waiter.work === work) ??
      -1;
    if (line === undefined || index < 0) return;
    const [waiter] = line.waiters.splice(index, 1);
    waiter?.reject(refusal);
    this.#serve(workspace, line);
  }

  /** Without a leader the rate may well not be used up. */
  #refusalOf(
    work: types.Work,
    workspace: string,
  ): protocol.errors.Refusal {
    if (this.#options.isCurrent()) return rateExceeded(work, workspace, 0);
    return waitRefusals.noLeaderRefusal("reserve", RETRY_AFTER_S);
  }

  #lineOf(workspace: string, now: number): Line {
    const known = this.#lines.get(workspace);
    if (known !== undefined) return known;
    const line = {
      waiters: [],
      supply: new core.queue.ThroughputEstimator(now),
    };
    this.#lines.set(workspace, line);
    return line;
  }
}

function tokensOf(line: Line): number {
  return line.waiters.reduce((sum, { work }) => sum + work.tokens, 0);
}

/**
 * The refusal of a request whose caller has left.
 *
 * @example
 * ```ts
 * throw callerGone();
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
      retryAfterSeconds: Math.max(RETRY_AFTER_S, lateMs / 1_000),
    },
  );
}

function overBurst(
  work: types.Work,
  burst: number,
): protocol.errors.Refusal {
  return new protocol.errors.Refusal(
    protocol.errors.TOO_LARGE,
    `the request needs ${work.tokens} tokens at once; the burst is ${burst}`,
    { step: "reserve" },
  );
}
