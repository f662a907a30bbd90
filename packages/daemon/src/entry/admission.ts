/**
 * Waiting for tokens of a workspace's rate.
 *
 * @module
 */
import type * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import type * as types from "./types.ts";

/** A share that may be had after this time, in seconds. */
const RETRY_AFTER_S = 1;

/** The part of {@link core.limits.ShareHolder} that admission uses. */
export type TokenShares = Pick<
  core.limits.ShareHolder,
  "reserve" | "settle" | "setWaitingTokens"
>;

interface Waiter {
  readonly work: types.Work;
  readonly since: number;
  resolve(reservation: core.limits.Reservation): void;
  reject(refusal: protocol.errors.Refusal): void;
}

/** Reserves tokens; requests of one workspace are served in their order. */
export class Admission {
  readonly #shares: TokenShares;
  readonly #requestShares: () => void;
  readonly #isCurrent: () => boolean;
  readonly #lines = new Map<string, Waiter[]>();

  /**
   * @param requestShares asks the leader for more, soon
   * @param isCurrent whether the host hears a leader
   */
  constructor(
    shares: TokenShares,
    requestShares: () => void,
    isCurrent: () => boolean,
  ) {
    this.#shares = shares;
    this.#requestShares = requestShares;
    this.#isCurrent = isCurrent;
  }

  /** Works that wait for tokens. */
  *waiting(): Generator<types.Work> {
    for (const line of this.#lines.values()) {
      for (const waiter of line) yield waiter.work;
    }
  }

  /**
   * Reserves the tokens of a request, at its deadline at the latest.
   *
   * @throws {protocol.errors.Refusal} the rate is used up
   */
  async reserve(
    work: types.Work,
    workspace: string,
    signal: AbortSignal,
  ): Promise<core.limits.Reservation> {
    const line = this.#lineOf(workspace);
    const now = performance.now();
    const entered = new Promise<core.limits.Reservation>((resolve, reject) => {
      line.push({ work, since: now, resolve, reject });
    });
    const leave = (refusal: protocol.errors.Refusal) =>
      this.#remove(workspace, work, refusal);
    const timer = setTimeout(
      () => leave(this.#refusalOf(work, workspace)),
      work.deadline - now,
    );
    const abort = () => leave(callerGone());
    signal.addEventListener("abort", abort);
    this.#serve(workspace, line);
    if (line.length > 0) this.#requestShares();
    try {
      return await entered;
    } finally {
      clearTimeout(timer);
      signal.removeEventListener("abort", abort);
    }
  }

  /** Serves all lines, after the shares have changed. */
  pump(): void {
    for (const [workspace, line] of this.#lines) this.#serve(workspace, line);
  }

  #serve(workspace: string, line: Waiter[]): void {
    while (line[0] !== undefined) {
      const head = line[0];
      const now = performance.now();
      const result = this.#shares.reserve(workspace, head.work.tokens, now);
      if (result.kind === "wait") break;
      line.shift();
      if (result.kind === "reserved") head.resolve(result.reservation);
      else head.reject(overBurst(head.work, result.burst));
    }
    this.#publish(workspace, line);
  }

  #publish(workspace: string, line: Waiter[]): void {
    const head = line[0];
    if (head === undefined) {
      this.#lines.delete(workspace);
      this.#shares.setWaitingTokens(workspace, undefined);
      return;
    }
    this.#shares.setWaitingTokens(workspace, {
      tokens: line.reduce((sum, waiter) => sum + waiter.work.tokens, 0),
      head: head.work.tokens,
      since: head.since,
    });
  }

  #remove(
    workspace: string,
    work: types.Work,
    refusal: protocol.errors.Refusal,
  ): void {
    const line = this.#lines.get(workspace) ?? [];
    const index = line.findIndex((waiter) => waiter.work === work);
    if (index < 0) return;
    const [waiter] = line.splice(index, 1);
    waiter?.reject(refusal);
    this.#serve(workspace, line);
  }

  /** Without a leader the rate may well not be used up. */
  #refusalOf(
    work: types.Work,
    workspace: string,
  ): protocol.errors.Refusal {
    if (this.#isCurrent()) return rateExceeded(work, workspace);
    return new protocol.errors.Refusal(
      protocol.errors.NOT_CURRENT,
      "the host heard no leader in the time of the tier",
      { step: "reserve", retryAfterSeconds: RETRY_AFTER_S },
    );
  }

  #lineOf(workspace: string): Waiter[] {
    const known = this.#lines.get(workspace);
    if (known !== undefined) return known;
    const line: Waiter[] = [];
    this.#lines.set(workspace, line);
    return line;
  }
}

/**
 * The refusal of a request whose caller has left.
 *
 * @example
 * ```ts
 * throw callerGone();
 * ```
 */
export function callerGone(): protocol.errors.Refusal {
  return new protocol.errors.Refusal(
    protocol.errors.REQUEST_TIMEOUT,
    "the caller closed the connection",
    { step: "wait" },
  );
}

function rateExceeded(
  work: types.Work,
  workspace: string,
): protocol.errors.Refusal {
  return new protocol.errors.Refusal(
    protocol.errors.RATE_EXCEEDED,
    `workspace ${workspace} has no ${work.tokens} tokens left in time`,
    { step: "reserve", retryAfterSeconds: RETRY_AFTER_S },
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
