/**
 * Tracks the prompts that servers of models have yet to read and the memory that
 * requests take there, and observes how long the first events take.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import type * as types from "./types.ts";

/**
 * Age from which on what the leader has told of other hosts' requests is
 * unknown, in ms: the longest interval of the reports that it answers with them.
 */
const MAX_TOLD_AGE_MS = 2_000;
/** Age from which on a server's pace is unknown, in ms: it takes as long to fade. */
const MAX_PACE_AGE_MS = 10_000;

/** Most tokens that a request counts as: callers may state any number. */
const MAX_TOKENS = 1e9;

/** Tokens of requests at one server. */
export type TokenCounts = { unreadTokens: number; reservedTokens: number };

/** What the leader has told of a server. */
type ToldTokens = {
  /** Tokens of the requests of other hosts. */
  readonly others: Readonly<TokenCounts>;
  readonly pace: number;
  /** Monotonic time at which it was told, in milliseconds. */
  readonly toldAt: number;
};

/** A request of this host that has not begun to answer. */
type StartedRequest = {
  readonly sentAt: number;
  /** Prompt tokens that the server had to read at that time, with its own. */
  readonly tokens: number;
  readonly pace: number;
  /** Requests in flight at the server. */
  readonly load: number;
};

/** First events of a model at a server, since the last report. */
type Observed = {
  readonly server: string;
  readonly model: string;
  count: number;
  logRatio: number;
};

/** Tokens at each server, and times to the first event. */
export class ServerTokens {
  readonly #own = new Map<string, TokenCounts>();
  readonly #told = new Map<string, ToldTokens>();
  readonly #started = new Map<types.RequestContext, StartedRequest>();
  readonly #observed = new Map<string, Observed>();
  /** By service. */
  readonly #estimates = new Map<string, core.gateway.ReadingEstimate>();

  /** How long the servers of a service take to the first event. */
  estimateOf(service: string): core.gateway.ReadingEstimate {
    const known = this.#estimates.get(service);
    if (known !== undefined) return known;
    const estimate = new core.gateway.ReadingEstimate();
    this.#estimates.set(service, estimate);
    return estimate;
  }

  /**
   * Counts a request as sent.
   *
   * @param load requests in flight at the server, without it
   */
  start(
    server: string,
    context: types.RequestContext,
    load: number,
    now: number,
  ): void {
    const counts = tokensOf(context);
    const ahead = this.aheadTokens(server, context.service.name, now);
    this.#started.set(context, {
      sentAt: now,
      tokens: ahead + counts.unreadTokens,
      pace: this.paceOf(server, now),
      load,
    });
    const own = this.#own.get(server) ?? emptyCounts();
    this.#own.set(server, own);
    own.unreadTokens += counts.unreadTokens;
    own.reservedTokens += counts.reservedTokens;
  }

  /**
   * Counts a request's prompt as read, and compares the time with the expected
   * one.
   */
  recordFirstEvent(
    { id, slots }: gateway.ServerRecord,
    context: types.RequestContext,
    now: number,
  ): void {
    const started = this.#started.get(context);
    if (started === undefined) return;
    this.#markRead(id, context);
    const { load, pace, sentAt, tokens } = started;
    const { metadata: { model }, service } = context;
    if (model === undefined) return;
    const estimate = this.estimateOf(service.name);
    const reading = { tokens, utilization: load / Math.max(1, slots) };
    const tookMs = Math.max(1, now - sentAt);
    const logRatio = Math.log(tookMs / estimate.expectedMs(reading));
    estimate.record(reading, tookMs / pace);
    const key = `${id} ${model}`;
    const observed = this.#observed.get(key) ??
      { server: id, model, count: 0, logRatio: 0 };
    this.#observed.set(key, observed);
    observed.count += 1;
    observed.logRatio += logRatio;
  }

  /** Counts a request as ended. */
  end(server: string, context: types.RequestContext): void {
    this.#markRead(server, context);
    const own = this.#own.get(server);
    if (own === undefined) return;
    own.reservedTokens -= tokensOf(context).reservedTokens;
  }

  /**
   * For a report: tokens by server, and the observations since the last call.
   * The requests themselves are reported by model, beside these.
   */
  takeLoad(): gateway.ServerLoad[] {
    const counts = [...this.#own]
      .filter(([, { reservedTokens }]) => reservedTokens > 0)
      .map(([server, { reservedTokens, unreadTokens }]) => ({
        server,
        running: 0,
        reservedTokens,
        ...(unreadTokens > 0 ? { unreadTokens } : {}),
      }));
    const observations = [...this.#observed.values()].map((
      { count, logRatio, model, server },
    ) => ({
      server,
      model,
      running: 0,
      observed: { count, logRatio: Number(logRatio.toFixed(2)) },
    }));
    this.#observed.clear();
    return [...counts, ...observations];
  }

  /** Applies the leader's sums over all hosts. */
  applyFleetLoad(load: readonly gateway.ServerLoad[], now: number): void {
    for (const { pace = 1, server, ...told } of load) {
      const own = this.#own.get(server) ?? emptyCounts();
      const others = {
        unreadTokens: excess(told.unreadTokens, own.unreadTokens),
        reservedTokens: excess(told.reservedTokens, own.reservedTokens),
      };
      this.#told.set(server, { others, pace, toldAt: now });
    }
  }

  /**
   * Prompt tokens that a server has yet to read. Those of other hosts count as
   * being read since the leader told of them.
   */
  aheadTokens(server: string, service: string, now: number): number {
    const own = this.#own.get(server)?.unreadTokens ?? 0;
    const told = this.#toldOf(server, MAX_TOLD_AGE_MS, now);
    if (told === undefined || told.others.unreadTokens === 0) return own;
    const msPerToken = this.estimateOf(service).msPerToken * told.pace;
    const readTokens = (now - told.toldAt) / msPerToken;
    return own + Math.max(0, told.others.unreadTokens - readTokens);
  }

  /** Tokens that requests in flight may take of a server's memory. */
  reservedTokens(server: string, now: number): number {
    const own = this.#own.get(server)?.reservedTokens ?? 0;
    const told = this.#toldOf(server, MAX_TOLD_AGE_MS, now);
    return own + (told?.others.reservedTokens ?? 0);
  }

  /** Time that a server takes relative to the usual one; 1 if not known. */
  paceOf(server: string, now: number): number {
    return this.#toldOf(server, MAX_PACE_AGE_MS, now)?.pace ?? 1;
  }

  /** Removes what is known of all servers but these, once it is unused. */
  retain(servers: ReadonlySet<string>): void {
    for (const server of this.#told.keys()) {
      if (!servers.has(server)) this.#told.delete(server);
    }
    for (const [server, { reservedTokens, unreadTokens }] of this.#own) {
      const isUnused = reservedTokens + unreadTokens === 0;
      if (isUnused && !servers.has(server)) this.#own.delete(server);
    }
  }

  #toldOf(
    server: string,
    maxAgeMs: number,
    now: number,
  ): ToldTokens | undefined {
    const told = this.#told.get(server);
    return told === undefined || now - told.toldAt > maxAgeMs
      ? undefined
      : told;
  }

  #markRead(server: string, context: types.RequestContext): void {
    if (!this.#started.delete(context)) return;
    const own = this.#own.get(server);
    if (own !== undefined) own.unreadTokens -= tokensOf(context).unreadTokens;
  }
}

/**
 * Tokens of a request at its server. Shared parts count as read, since requests
 * that share them go to the same server while it has room.
 */
export function tokensOf({ metadata }: types.RequestContext): TokenCounts {
  const { promptTokens = 0, sharedTokens = 0, tokens } = metadata;
  return {
    unreadTokens: countOf(promptTokens - sharedTokens),
    reservedTokens: countOf(tokens ?? promptTokens),
  };
}

function countOf(tokens: number): number {
  return Math.round(Math.min(MAX_TOKENS, Math.max(0, tokens)));
}

function emptyCounts(): TokenCounts {
  return { unreadTokens: 0, reservedTokens: 0 };
}

function excess(total: number | undefined, own: number): number {
  return Math.max(0, (total ?? 0) - own);
}
