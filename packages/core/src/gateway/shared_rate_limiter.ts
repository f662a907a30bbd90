import type { gateway } from "@ebonypath/protocol";
import { RatePart } from "./rate_part.ts";

const SECOND_MS = 1_000;
/** Token bucket of one workspace. */
type TokenBucket = {
  rate: gateway.RateLimit;
  /** Available tokens; negative while the bucket is in debt. */
  level: number;
  refilledAt: number;
  /** What this host may use without knowing the usage of the others. */
  readonly part: RatePart;
};

/** Tokens used at this host since it started. */
type LocalCounter = {
  tokens: number;
  /** Its value in the last report that a leader has answered. */
  acknowledged: number;
};

/** Usage of the other hosts, as last told by the leader of one term. */
type RemoteUsage = {
  readonly term: number;
  readonly tokens: Map<string, number>;
};

/**
 * Rate limiter with a token bucket per workspace that all entry hosts share.
 * Each host deducts its own usage at once and the sum of the other hosts' when
 * the leader tells it. Usage that is told late leaves the bucket in debt, so
 * the total keeps to the rate over a longer time.
 *
 * Overuse is bounded by the requests that are admitted between two answers of
 * the leader. Leasing parts of the rate to hosts would bound it exactly, but
 * would refuse requests within the rate while a part moves between hosts. A host
 * that the leader has not answered for some time uses its {@link RatePart} only.
 *
 * @example
 * ```ts
 * limiter.setRate("shop", rate, now);
 * if (!limiter.tryConsume("shop", 1_600, now)) return refuse(429);
 * ```
 */
export class SharedRateLimiter {
  readonly #buckets = new Map<string, TokenBucket>();
  /** Tokens used at this host since it started, by workspace. */
  readonly #localUsage = new Map<string, LocalCounter>();
  #remoteUsage: RemoteUsage | undefined;
  #hostCount = 1;

  /** Sets the rate of a workspace; changing it keeps the bucket's level. */
  setRate(workspace: string, rate: gateway.RateLimit, now: number): void {
    const bucket = this.#buckets.get(workspace);
    if (bucket === undefined) {
      const level = rate.burst;
      const part = new RatePart(rate, now);
      part.setHostCount(this.#hostCount);
      this.#buckets.set(workspace, { rate, level, refilledAt: now, part });
      return;
    }
    this.#refill(bucket, now);
    bucket.rate = rate;
    bucket.part.setRate(rate);
    bucket.level = Math.min(bucket.level, rate.burst);
  }

  /** Removes the limits of all workspaces but these. */
  retainWorkspaces(workspaces: ReadonlySet<string>): void {
    for (const name of this.#buckets.keys()) {
      if (!workspaces.has(name)) this.#buckets.delete(name);
    }
  }

  /**
   * Sets the number of hosts that use the rates, this one included; `Infinity`
   * while it is unknown.
   */
  setHostCount(hostCount: number): void {
    this.#hostCount = hostCount;
    for (const { part } of this.#buckets.values()) part.setHostCount(hostCount);
  }

  /** Fraction of a workspace's burst that is available now; 1 without a limit. */
  availableFraction(workspace: string, now: number): number {
    const bucket = this.#buckets.get(workspace);
    if (bucket === undefined || bucket.rate.burst <= 0) return 1;
    this.#refill(bucket, now);
    return bucket.level / bucket.rate.burst;
  }

  /** Deducts tokens whatever the level, for usage that was admitted elsewhere. */
  charge(workspace: string, tokens: number, now: number): void {
    this.#deduct(workspace, tokens, now);
  }

  /** Deducts a request's tokens; returns false if the bucket has too few. */
  tryConsume(workspace: string, tokens: number, now: number): boolean {
    const bucket = this.#buckets.get(workspace);
    if (bucket !== undefined) {
      if (!this.#hasTokens(bucket, tokens, now)) return false;
      bucket.part.charge(tokens, now);
      bucket.level -= tokens;
    }
    this.#localCounter(workspace).tokens += tokens;
    return true;
  }

  /**
   * Deducts a request's tokens from this host's part as well, for a host that
   * does not know the usage of the others.
   *
   * @param draw random number from 0 to 1
   */
  tryConsumePart(
    workspace: string,
    tokens: number,
    now: number,
    draw: number,
  ): boolean {
    const bucket = this.#buckets.get(workspace);
    if (bucket !== undefined) {
      if (!this.#hasTokens(bucket, tokens, now)) return false;
      if (!bucket.part.tryConsume(tokens, now, draw)) return false;
      bucket.level -= tokens;
    }
    this.#localCounter(workspace).tokens += tokens;
    return true;
  }

  /** Whether this host's part alone allows a request. */
  fitsPart(workspace: string, tokens: number, now: number): boolean {
    return this.#buckets.get(workspace)?.part.fits(tokens, now) ?? true;
  }

  /** Time until a request with this many tokens is admitted, in ms. */
  waitMs(workspace: string, tokens: number, now: number): number {
    const bucket = this.#buckets.get(workspace);
    if (bucket === undefined) return 0;
    this.#refill(bucket, now);
    const missing = Math.min(tokens, bucket.rate.burst) - bucket.level;
    if (missing <= 0) return 0;
    return bucket.rate.perSecond > 0
      ? missing / bucket.rate.perSecond * SECOND_MS
      : Infinity;
  }

  /** Returns the tokens of a request that did not run. */
  refund(workspace: string, tokens: number): void {
    const bucket = this.#buckets.get(workspace);
    if (bucket !== undefined) {
      bucket.level = Math.min(bucket.rate.burst, bucket.level + tokens);
      bucket.part.refund(tokens);
    }
    this.#localCounter(workspace).tokens -= tokens;
  }

  /** Counters that have changed since the last answered report. */
  usage(): gateway.ReportedUsage[] {
    return [...this.#localUsage]
      .filter(([, { acknowledged, tokens }]) => tokens !== acknowledged)
      .map(([workspace, { acknowledged, tokens }]) => ({
        workspace,
        tokens,
        acknowledged,
      }));
  }

  /** Records that a leader has answered a report. */
  acknowledgeUsage(reported: readonly gateway.ReportedUsage[]): void {
    for (const { tokens, workspace } of reported) {
      this.#localCounter(workspace).acknowledged = tokens;
    }
  }

  /**
   * Deducts what other hosts have used since the last answer. A leader sums
   * usage from the start of its term, and the first answer that a host gets
   * after its own start is only a baseline.
   *
   * @param usage tokens of all other hosts since the term began
   */
  applyRemoteUsage(
    term: number,
    usage: readonly gateway.WorkspaceUsage[],
    now: number,
  ): void {
    // The sums of an earlier leader are in those that its successor tells.
    if (term < (this.#remoteUsage?.term ?? 0)) return;
    const isFirst = this.#remoteUsage === undefined;
    const known = this.#remoteUsage?.term === term
      ? this.#remoteUsage
      : { term, tokens: new Map<string, number>() };
    this.#remoteUsage = known;
    for (const { tokens, workspace } of usage) {
      const previous = known.tokens.get(workspace) ?? (isFirst ? tokens : 0);
      known.tokens.set(workspace, tokens);
      this.#deduct(workspace, tokens - previous, now);
    }
    for (const bucket of this.#buckets.values()) {
      this.#refill(bucket, now);
      bucket.part.reset(bucket.level / this.#hostCount, now);
    }
  }

  /** A request larger than the bucket is admitted when the bucket is full. */
  #hasTokens(bucket: TokenBucket, tokens: number, now: number): boolean {
    this.#refill(bucket, now);
    return bucket.level >= Math.min(tokens, bucket.rate.burst);
  }

  #localCounter(workspace: string): LocalCounter {
    const counter = this.#localUsage.get(workspace) ??
      { tokens: 0, acknowledged: 0 };
    this.#localUsage.set(workspace, counter);
    return counter;
  }

  #deduct(workspace: string, tokens: number, now: number): void {
    const bucket = this.#buckets.get(workspace);
    if (bucket === undefined) return;
    this.#refill(bucket, now);
    bucket.level = Math.min(bucket.rate.burst, bucket.level - tokens);
  }

  #refill(bucket: TokenBucket, now: number): void {
    const { burst, perSecond } = bucket.rate;
    const added = (now - bucket.refilledAt) / SECOND_MS * perSecond;
    bucket.level = Math.min(burst, bucket.level + Math.max(0, added));
    bucket.refilledAt = now;
  }
}
