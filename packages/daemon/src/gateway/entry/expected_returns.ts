/**
 * Callers that were told to come back when their model is ready.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import type * as serverTokens from "./server_tokens.ts";
import * as tokens from "./server_tokens.ts";
import type * as types from "./types.ts";

/** Callers that are remembered. */
const MAX_RETURNS = 256;
/**
 * Time for which a caller is expected after it was due, in milliseconds: a
 * connection, and a report to the leader.
 */
const OVERDUE_MS = 500;
/** Time over which callers of several hosts are spread, in milliseconds. */
const SPREAD_MS = 150;

/** A caller that was told to come back, and the monotonic time of that, in ms. */
export type ExpectedReturn = {
  readonly context: types.RequestContext;
  readonly dueAt: number;
};

/**
 * Says when callers should come back, and remembers them until then. They may
 * come back to any host under another id, so a return can't be matched: one that
 * is due is forgotten after a short time.
 *
 * @example
 * ```ts
 * const retryAfterMs = returns.schedule(context, 4_000, performance.now());
 * ```
 */
export class ExpectedReturns {
  readonly #tokens: Pick<serverTokens.ServerTokens, "estimateOf">;
  #returns: readonly ExpectedReturn[] = [];

  constructor(tokens: Pick<serverTokens.ServerTokens, "estimateOf">) {
    this.#tokens = tokens;
  }

  /** Number of callers that are expected. */
  get count(): number {
    return this.#returns.length;
  }

  /**
   * Expects a caller after its model is ready, and after the prompts of those
   * that were told to come back for it before have been read.
   *
   * @param afterMs time until the model is ready, in milliseconds
   * @returns time after which the caller should come back, in milliseconds
   */
  schedule(
    context: types.RequestContext,
    afterMs: number,
    now: number,
  ): number {
    const ahead = [...this.due(now)].filter((one) =>
      isForSameModel(one.context, context)
    );
    const { msPerToken } = this.#tokens.estimateOf(context.service.name);
    const aheadMs = ahead.reduce(
      (sum, one) => sum + tokens.tokensOf(one.context).unreadTokens,
      0,
    ) * msPerToken;
    const returnMs = afterMs + aheadMs + Math.random() * SPREAD_MS;
    const awayMs = core.gateway.awayMs(returnMs, context.deadline - now);
    this.#returns = [
      ...this.#returns.slice(1 - MAX_RETURNS),
      { context, dueAt: now + awayMs },
    ];
    return returnMs;
  }

  /** Callers that have not come back yet, as far as can be told. */
  due(now: number): readonly ExpectedReturn[] {
    this.#returns = this.#returns.filter(({ dueAt }) =>
      now < dueAt + OVERDUE_MS
    );
    return this.#returns;
  }
}

function isForSameModel(
  one: types.RequestContext,
  other: types.RequestContext,
): boolean {
  return one.service.name === other.service.name &&
    one.metadata.model === other.metadata.model;
}
