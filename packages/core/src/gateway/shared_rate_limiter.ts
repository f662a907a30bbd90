import type { gateway } from "@ebonypath/protocol";
import * as suspicion from "../suspicion/mod.ts";
import { RatePart } from "./rate_part.ts";
import * as toleratedRate from "./tolerated_rate.ts";

const SECOND_MS = 1_000;
/** Workspaces without a limit at present whose shortages are kept. */
const MAX_SHORTAGES = 10_000;
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

/** What a workspace lacked of its burst. */
type Shortage = {
  readonly tokens: number;
  /** Monotonic time, in milliseconds. */
  readonly at: number;
  /** Tokens that were added per second at that time. */
  readonly perSecond: number;
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
 * A host that begins doesn't know what was used before. Its buckets are empty at
 * its start and fill at the rate, until a leader tells what they lack.
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
  /** Last known shortages of workspaces that have no bucket at present. */
  readonly #shortages = new Map<string, Shortage>();
  /** Monotonic time before which nothing is known of the usage, in ms. */
  #beganAt: number;
  #remoteUsage: RemoteUsage | undefined;
  readonly #tolerance: toleratedRate.RateTolerance | undefined;
  #hostCount = 1;

  /**
   * @param beganAt time at which the process began; absent if all is known
   * @param tolerance how far usage may exceed the rates; not at all by default
   */
  constructor(
    beganAt = -Infinity,
    tolerance?: toleratedRate.RateTolerance,
  ) {
    this.#beganAt = beganAt;
    this.#tolerance = tolerance;
  }

  /** Number of hosts that use the rates, this one included. */
  get hostCount(): number {
    return this.#hostCount;
  }

  /** Limits the workspaces that have a rate, and no others. */
  setRates(workspaces: readonly gateway.Workspace[], now: number): void {
    const limited = workspaces.filter(({ rate }) => rate !== undefined);
    this.retainWorkspaces(new Set(limited.map(({ name }) => name)), now);
    for (const { name, rate } of limited) {
      if (rate !== undefined) this.setRate(name, rate, now);
    }
  }

  /** Sets the rate of a workspace; changing it keeps the bucket's level. */
  setRate(
    workspace: string,
    configuredRate: gateway.RateLimit,
    now: number,
  ): void {
    const rate = toleratedRate.toleratedRate(configuredRate, this.#tolerance);
    const bucket = this.#buckets.get(workspace);
    if (bucket === undefined) {
      const level = this.#initialLevel(workspace, rate, now);
      const part = new RatePart(rate, now);
      part.setHostCount(this.#hostCount);
      part.reset(level / this.#hostCount, now);
      this.#buckets.set(workspace, { rate, level, refilledAt: now, part });
      return;
    }
    this.#refill(bucket, now);
    bucket.rate = rate;
    bucket.part.setRate(rate);
    bucket.level = Math.min(bucket.level, rate.burst);
  }

  /**
   * Removes the limits of all workspaces but these. One that is limited again
   * later continues with what it lacks now.
   */
  retainWorkspaces(workspaces: ReadonlySet<string>, now: number): void {
    for (const [name, bucket] of this.#buckets) {
      if (workspaces.has(name)) continue;
      this.#refill(bucket, now);
      this.#buckets.delete(name);
      const { burst, perSecond } = bucket.rate;
      const tokens = burst - bucket.level;
      this.#addShortage(name, { tokens, at: now, perSecond });
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

  /**
   * Tokens that each workspace lacks of its burst, if it lacks any; also those
   * that have no limit at present.
   */
  missing(now: number): gateway.WorkspaceUsage[] {
    const limited = [...this.#buckets].map(([workspace, bucket]) => {
      this.#refill(bucket, now);
      return { workspace, tokens: bucket.rate.burst - bucket.level };
    });
    const unlimited = [...this.#shortages].map(([workspace, shortage]) => ({
      workspace,
      tokens: remainingTokens(shortage, now),
    }));
    return [...limited, ...unlimited].filter(({ tokens }) => tokens > 0);
  }

  /** Lowers levels to what another process knows to be available at most. */
  lowerLevels(missing: readonly gateway.WorkspaceUsage[], now: number): void {
    for (const { tokens, workspace } of missing) {
      const bucket = this.#buckets.get(workspace);
      if (bucket === undefined) continue;
      this.#refill(bucket, now);
      bucket.level = Math.min(bucket.level, bucket.rate.burst - tokens);
    }
  }

  /**
   * Takes over the levels that a leader knows, to be called when its answer has
   * been applied otherwise. The first ones replace those that this host began
   * with; later ones only lower what it knows itself.
   *
   * @param missing tokens that workspaces lack, by what hosts have reported
   * @param isFirst whether no leader has told levels before
   */
  applyLevels(
    missing: readonly gateway.WorkspaceUsage[],
    isFirst: boolean,
    now: number,
  ): void {
    const lacked = new Map(
      missing.map(({ tokens, workspace }) => [workspace, tokens]),
    );
    for (const [workspace, bucket] of this.#buckets) {
      this.#refill(bucket, now);
      const level = bucket.rate.burst - (lacked.get(workspace) ?? 0) -
        this.#unreportedTokens(workspace);
      bucket.level = isFirst ? level : Math.min(bucket.level, level);
      bucket.part.reset(bucket.level / this.#hostCount, now);
    }
    for (const [workspace, tokens] of lacked) {
      if (this.#buckets.has(workspace)) continue;
      this.#addShortage(workspace, { tokens, at: now, perSecond: 0 });
    }
    this.#beganAt = -Infinity;
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

  /**
   * Time until a request with this many tokens is admitted, in ms.
   *
   * @param tokensAhead of requests that are to be admitted before
   */
  waitMs(
    workspace: string,
    tokens: number,
    now: number,
    tokensAhead = 0,
  ): number {
    const bucket = this.#buckets.get(workspace);
    if (bucket === undefined) return 0;
    this.#refill(bucket, now);
    const missing = Math.min(tokens, bucket.rate.burst) + tokensAhead -
      bucket.level;
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

  /** Level of a workspace that has no bucket at present. */
  #initialLevel(
    workspace: string,
    { burst, perSecond }: gateway.RateLimit,
    now: number,
  ): number {
    const shortage = this.#shortages.get(workspace);
    this.#shortages.delete(workspace);
    if (shortage !== undefined) return burst - remainingTokens(shortage, now);
    if (this.#beganAt === -Infinity) return burst;
    const all = { tokens: burst, at: this.#beganAt, perSecond };
    return burst - remainingTokens(all, now);
  }

  #addShortage(workspace: string, shortage: Shortage): void {
    suspicion.setNewest(this.#shortages, workspace, shortage, MAX_SHORTAGES);
  }

  /** Tokens used here that no leader has been told of. */
  #unreportedTokens(workspace: string): number {
    const counter = this.#localUsage.get(workspace);
    return counter === undefined ? 0 : counter.tokens - counter.acknowledged;
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

/** What is left of a shortage, as the rate has made up for it. */
function remainingTokens(
  { at, perSecond, tokens }: Shortage,
  now: number,
): number {
  return Math.max(0, tokens - (now - at) / SECOND_MS * perSecond);
}
