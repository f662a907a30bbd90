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

/** What is remembered of a caller that was told to come back. */
export type ExpectedReturn = {
  readonly service: string;
  readonly model: string;
  readonly adapter: string | undefined;
  /** Software version that it needs; undefined unless it continues a stream. */
  readonly softwareVersion: string | undefined;
  readonly unreadTokens: number;
  /** Monotonic time at which it comes back, in milliseconds. */
  readonly dueAt: number;
};

/** The model of a caller, when it is ready, and where. */
export type ExpectedModel = {
  readonly model: string;
  /** Time until then, in milliseconds. */
  readonly readyMs: number;
  /** Servers that have it or are about to. */
  readonly holders: number;
};

/**
 * Says when callers should come back, and remembers them until then. They may
 * come back to any host under another id, so a return can't be matched: one that
 * is due is forgotten after a short time.
 *
 * @example
 * ```ts
 * const model = { model: "advice-7", readyMs: 4_000, holders: 1 };
 * const retryAfterMs = returns.schedule(context, model, performance.now());
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
   * that come back for it before have been read.
   *
   * @returns time after which the caller should come back, in milliseconds
   */
  schedule(
    context: types.RequestContext,
    { holders, model, readyMs }: ExpectedModel,
    now: number,
  ): number {
    const { deadline, metadata: { adapter }, origin } = context;
    const service = context.service.name;
    const leftMs = deadline - now;
    const readyAt = now + core.gateway.awayMs(readyMs, leftMs);
    const aheadTokens = this.due(now)
      .filter((one) => one.service === service && one.model === model)
      .filter(({ dueAt }) => dueAt < readyAt)
      .reduce((sum, { unreadTokens }) => sum + unreadTokens, 0);
    const { msPerToken } = this.#tokens.estimateOf(service);
    const aheadMs = aheadTokens * msPerToken / Math.max(1, holders);
    const spreadMs = Math.random() * SPREAD_MS;
    const awayMs = core.gateway.awayMs(readyMs + aheadMs + spreadMs, leftMs);
    const { unreadTokens } = tokens.tokensOf(context);
    const softwareVersion = origin?.softwareVersion ?? undefined;
    const dueAt = now + awayMs;
    this.#returns = [
      ...this.#returns,
      { service, model, adapter, softwareVersion, unreadTokens, dueAt },
    ].sort((one, other) => one.dueAt - other.dueAt).slice(0, MAX_RETURNS);
    return awayMs;
  }

  /** Callers that have not come back yet, as far as can be told. */
  due(now: number): readonly ExpectedReturn[] {
    this.#returns = this.#returns.filter(({ dueAt }) =>
      now < dueAt + OVERDUE_MS
    );
    return this.#returns;
  }
}
