import * as suspicion from "../suspicion/mod.ts";

const SECOND_MS = 1_000;
/** Workspaces of which the last return is kept. */
const MAX_WORKSPACES = 10_000;
/**
 * Longest time after which a caller is told to come back, in milliseconds. Most
 * loads that exceed a rate many times are over then.
 */
const MAX_RETURN_MS = 10_000;

/** A request that waits for the rate of its workspace. */
export type WaitingRequest = { readonly tokens: number };

/**
 * Order in which the requests of one host use the rate of their workspace. A
 * request that waits goes before those that arrive later, and callers that are
 * refused are told times at which the tokens of those told before are there.
 *
 * @example
 * ```ts
 * const queue = new RateQueue();
 * using place = queue.enter("shop", 1_600);
 * queue.tokensAhead("shop", place); // 0
 * queue.tokensAhead("shop"); // 1_600, for a request that arrives now
 * ```
 */
export class RateQueue {
  readonly #waiting = new Map<string, Set<WaitingRequest>>();
  /** Monotonic times at which the last callers are due, in milliseconds. */
  readonly #returns = new Map<string, number>();

  /** Lets a request wait until the returned place is disposed. */
  enter(workspace: string, tokens: number): WaitingRequest & Disposable {
    const waiting = this.#waiting.get(workspace) ?? new Set();
    this.#waiting.set(workspace, waiting);
    const request = {
      tokens,
      [Symbol.dispose]: () => {
        waiting.delete(request);
        if (waiting.size === 0) this.#waiting.delete(workspace);
      },
    };
    waiting.add(request);
    return request;
  }

  /**
   * Tokens of the requests that are to be admitted before one.
   *
   * @param place of the request; absent if it arrives now
   */
  tokensAhead(workspace: string, place?: WaitingRequest): number {
    let tokens = 0;
    for (const request of this.#waiting.get(workspace) ?? []) {
      if (request === place) return tokens;
      tokens += request.tokens;
    }
    return tokens;
  }

  /**
   * Time after which a refused caller should come back, in milliseconds: after
   * those that were told before. Other hosts tell as many, as far as known.
   *
   * @param waitMs time until the tokens are there if nobody else comes back
   */
  scheduleReturn(
    workspace: string,
    { hostCount, perSecond, tokens, waitMs }: {
      readonly tokens: number;
      readonly perSecond: number;
      readonly hostCount: number;
      readonly waitMs: number;
    },
    now: number,
  ): number {
    const previousAt = this.#returns.get(workspace) ?? -Infinity;
    const hosts = Number.isFinite(hostCount) ? hostCount : 1;
    const intervalMs = perSecond > 0
      ? tokens * hosts / perSecond * SECOND_MS
      : MAX_RETURN_MS;
    const at = Math.max(now + waitMs, previousAt + intervalMs);
    const returnAt = Math.min(at, now + MAX_RETURN_MS);
    suspicion.setNewest(this.#returns, workspace, returnAt, MAX_WORKSPACES);
    return returnAt - now;
  }
}
