import type { gateway } from "@ebonypath/protocol";

const SECOND_MS = 1_000;
/** Starts of hosts whose counters are kept; the target has 1,100 hosts. */
const MAX_HOSTS = 4_096;

/** What one other host has used. */
type HostUsage = gateway.ReportResponse["usage"][number];

/** A bucket and what is known of its use. */
type Meter = {
  rate: gateway.RateLimit;
  /** Tokens that may be used now; negative while the bucket is in debt. */
  level: number;
  refilledAt: number;
};

/**
 * Token buckets of workspaces that all entry hosts draw on together. Each host
 * counts its own use at once and that of the others when it hears of it; what
 * they used meanwhile becomes debt, so that the sum over a longer time keeps
 * the rate. No host waits for another to admit a request.
 *
 * Over-use is bounded by what arrives within one exchange. Leased shares bound
 * it exactly, but refuse requests within the rate while a share moves.
 *
 * @example
 * ```ts
 * meter.setRate("shop", rate, now);
 * if (!meter.admit("shop", 1_600, now)) return refuse(429);
 * ```
 */
export class SharedRateLimiter {
  readonly #meters = new Map<string, Meter>();
  /** Tokens used here since this host started, by workspace. */
  readonly #own = new Map<string, number>();
  /** Tokens that other hosts have reported, by host and workspace. */
  readonly #others = new Map<string, Map<string, number>>();
  #hasBaseline = false;

  /** Sets the rate of a workspace; a change keeps the level. */
  setRate(workspace: string, rate: gateway.RateLimit, now: number): void {
    const known = this.#meters.get(workspace);
    if (known === undefined) {
      const level = rate.burst;
      this.#meters.set(workspace, { rate, level, refilledAt: now });
      return;
    }
    this.#refill(known, now);
    known.rate = rate;
    known.level = Math.min(known.level, rate.burst);
  }

  /** Ends the limits of all workspaces but these. */
  retainWorkspaces(workspaces: ReadonlySet<string>): void {
    for (const name of this.#meters.keys()) {
      if (!workspaces.has(name)) this.#meters.delete(name);
    }
  }

  /** Counts a request if its workspace may use so many tokens now. */
  tryConsume(workspace: string, tokens: number, now: number): boolean {
    const meter = this.#meters.get(workspace);
    if (meter !== undefined) {
      this.#refill(meter, now);
      // A request larger than the bucket passes when the bucket is full.
      const needed = Math.min(tokens, meter.rate.burst);
      if (meter.level < needed) return false;
      meter.level -= tokens;
    }
    this.#own.set(workspace, (this.#own.get(workspace) ?? 0) + tokens);
    return true;
  }

  /** Time until a request of so many tokens is admitted, in milliseconds. */
  waitMs(workspace: string, tokens: number, now: number): number {
    const meter = this.#meters.get(workspace);
    if (meter === undefined) return 0;
    this.#refill(meter, now);
    const needed = Math.min(tokens, meter.rate.burst) - meter.level;
    if (needed <= 0) return 0;
    return meter.rate.perSecond > 0
      ? needed / meter.rate.perSecond * SECOND_MS
      : Infinity;
  }

  /** Gives back the tokens of a request that did not run. */
  refund(workspace: string, tokens: number): void {
    const meter = this.#meters.get(workspace);
    if (meter !== undefined) {
      meter.level = Math.min(meter.rate.burst, meter.level + tokens);
    }
    this.#own.set(workspace, (this.#own.get(workspace) ?? 0) - tokens);
  }

  /** Tokens used here, for the report to the leader. */
  usage(): gateway.WorkspaceUsage[] {
    return [...this.#own].map(([workspace, tokens]) => ({
      workspace,
      tokens: Math.max(0, tokens),
    }));
  }

  /**
   * Takes what the other hosts have used since each of them started. What they
   * used before this host first heard of any is not held against the buckets.
   */
  applyRemoteUsage(hosts: readonly HostUsage[], now: number): void {
    for (const { host, usage } of hosts) {
      const known = this.#countersOf(host);
      for (const { tokens, workspace } of usage) {
        const before = known.get(workspace) ??
          (this.#hasBaseline ? 0 : tokens);
        known.set(workspace, tokens);
        this.#charge(workspace, tokens - before, now);
      }
    }
    this.#hasBaseline ||= hosts.length > 0;
  }

  #charge(workspace: string, tokens: number, now: number): void {
    const meter = this.#meters.get(workspace);
    if (meter === undefined) return;
    this.#refill(meter, now);
    meter.level = Math.min(meter.rate.burst, meter.level - tokens);
  }

  /** Counters outlive a silence of their host, which would count twice. */
  #countersOf(host: string): Map<string, number> {
    const known = this.#others.get(host) ?? new Map<string, number>();
    this.#others.delete(host);
    this.#others.set(host, known);
    const oldest = this.#others.keys().next();
    if (this.#others.size > MAX_HOSTS && !oldest.done) {
      this.#others.delete(oldest.value);
    }
    return known;
  }

  #refill(meter: Meter, now: number): void {
    const { burst, perSecond } = meter.rate;
    const gained = (now - meter.refilledAt) / SECOND_MS * perSecond;
    meter.level = Math.min(burst, meter.level + Math.max(0, gained));
    meter.refilledAt = now;
  }
}
