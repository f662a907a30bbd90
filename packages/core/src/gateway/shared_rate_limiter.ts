import type { gateway } from "@ebonypath/protocol";

const SECOND_MS = 1_000;
/**
 * Host starts whose counters are kept. The target is a fleet of 1,100 hosts,
 * and every restart of a host adds one.
 */
const MAX_HOSTS = 4_096;

/** Usage that another host has reported. */
type HostUsage = gateway.ReportResponse["usage"][number];

/** Token bucket of one workspace. */
type TokenBucket = {
  rate: gateway.RateLimit;
  /** Available tokens; negative while the bucket is in debt. */
  level: number;
  refilledAt: number;
};

/**
 * Rate limiter with a token bucket per workspace that all entry hosts share.
 * Each host deducts its own usage at once and that of the other hosts when it
 * is reported. Usage that is reported late leaves the bucket in debt, so the
 * total keeps to the rate over a longer time. No host waits for another one to
 * admit a request.
 *
 * Overuse is bounded by the requests that arrive within one exchange of
 * reports. Leasing parts of the rate to hosts would bound it exactly, but would
 * refuse requests within the rate while a part moves between hosts.
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
  readonly #localUsage = new Map<string, number>();
  /** Tokens that other hosts have reported, by host and workspace. */
  readonly #remoteUsage = new Map<string, Map<string, number>>();
  #hasBaseline = false;

  /** Sets the rate of a workspace; changing it keeps the bucket's level. */
  setRate(workspace: string, rate: gateway.RateLimit, now: number): void {
    const bucket = this.#buckets.get(workspace);
    if (bucket === undefined) {
      const level = rate.burst;
      this.#buckets.set(workspace, { rate, level, refilledAt: now });
      return;
    }
    this.#refill(bucket, now);
    bucket.rate = rate;
    bucket.level = Math.min(bucket.level, rate.burst);
  }

  /** Removes the limits of all workspaces but these. */
  retainWorkspaces(workspaces: ReadonlySet<string>): void {
    for (const name of this.#buckets.keys()) {
      if (!workspaces.has(name)) this.#buckets.delete(name);
    }
  }

  /** Deducts a request's tokens; returns false if the bucket has too few. */
  tryConsume(workspace: string, tokens: number, now: number): boolean {
    const bucket = this.#buckets.get(workspace);
    if (bucket !== undefined) {
      this.#refill(bucket, now);
      // A request larger than the bucket is admitted when the bucket is full.
      const required = Math.min(tokens, bucket.rate.burst);
      if (bucket.level < required) return false;
      bucket.level -= tokens;
    }
    this.#localUsage.set(
      workspace,
      (this.#localUsage.get(workspace) ?? 0) + tokens,
    );
    return true;
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
    }
    this.#localUsage.set(
      workspace,
      (this.#localUsage.get(workspace) ?? 0) - tokens,
    );
  }

  /** Tokens used at this host, for the report to the leader. */
  usage(): gateway.WorkspaceUsage[] {
    return [...this.#localUsage].map(([workspace, tokens]) => ({
      workspace,
      tokens: Math.max(0, tokens),
    }));
  }

  /**
   * Deducts what other hosts have used since their last reports. The first
   * reports that this host receives are only a baseline; usage before them is
   * not deducted.
   *
   * @param hosts total usage of each host since it started
   */
  applyRemoteUsage(hosts: readonly HostUsage[], now: number): void {
    for (const { host, usage } of hosts) {
      const counters = this.#countersOf(host);
      for (const { tokens, workspace } of usage) {
        const previous = counters.get(workspace) ??
          (this.#hasBaseline ? 0 : tokens);
        counters.set(workspace, tokens);
        this.#deduct(workspace, tokens - previous, now);
      }
    }
    this.#hasBaseline ||= hosts.length > 0;
  }

  #deduct(workspace: string, tokens: number, now: number): void {
    const bucket = this.#buckets.get(workspace);
    if (bucket === undefined) return;
    this.#refill(bucket, now);
    bucket.level = Math.min(bucket.rate.burst, bucket.level - tokens);
  }

  /**
   * Counters of a host, marked as the most recently used. They are kept while
   * the host is silent; otherwise its usage would be deducted again when it
   * reports the next time.
   */
  #countersOf(host: string): Map<string, number> {
    const counters = this.#remoteUsage.get(host) ?? new Map<string, number>();
    this.#remoteUsage.delete(host);
    this.#remoteUsage.set(host, counters);
    const oldest = this.#remoteUsage.keys().next();
    if (this.#remoteUsage.size > MAX_HOSTS && !oldest.done) {
      this.#remoteUsage.delete(oldest.value);
    }
    return counters;
  }

  #refill(bucket: TokenBucket, now: number): void {
    const { burst, perSecond } = bucket.rate;
    const added = (now - bucket.refilledAt) / SECOND_MS * perSecond;
    bucket.level = Math.min(burst, bucket.level + Math.max(0, added));
    bucket.refilledAt = now;
  }
}
