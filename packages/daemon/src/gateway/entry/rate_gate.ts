/**
 * Admits requests by the rates of their workspaces, lets them wait for a rate,
 * and tells refused callers when to come back.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import type * as fleetView from "./fleet_view.ts";

/**
 * Age from which on the usage of the other hosts counts as unknown, in
 * milliseconds: the report interval of a fleet of up to a hundred hosts, and the
 * time for an answer.
 */
const MAX_USAGE_AGE_MS = 350;
/**
 * The same for workspaces near their rate, whose usage each request asks for: the
 * time that it waits for an answer.
 */
const MAX_LIMITED_USAGE_AGE_MS = 100;
/**
 * Wait for a rate while the usage of the other hosts is unknown, in milliseconds.
 * A lost leader is usually replaced within it.
 */
const UNKNOWN_USAGE_WAIT_MS = 1_000;
/** Interval at which a waiting request asks for the usage of others, in ms. */
const USAGE_POLL_MS = 100;
/** Shortest wait for a rate, in milliseconds: two callers may need the same. */
const MIN_WAIT_MS = 10;
/**
 * Fraction of a route's target time that a request waits for the rate of its
 * workspace at most; the rest is left for a server.
 */
const TARGET_FRACTION = 0.5;
/**
 * Fraction of a request's time that it waits until the usage of the other hosts
 * is known: that for which a refused caller would stay away.
 */
const UNKNOWN_USAGE_FRACTION = 1 / 3;

/** Dependencies of a `RateGate`. */
export interface RateGateOptions {
  readonly view: Pick<fleetView.FleetView, "isWorkspaceLimited">;
  readonly rateLimiter: core.gateway.SharedRateLimiter;
  /** Age of what the leader has told of the other hosts' usage, in ms. */
  usageAgeMs(): number;
  /** Resolves when the leader has told the usage of all hosts, or in vain. */
  refreshUsage(): Promise<void>;
}

/** Why a request is not admitted now. */
export type RateRefusal = {
  readonly workspace: string;
  readonly tokens: number;
  /** Whether all hosts together have used up the rate, or this host its part. */
  readonly isUsageKnown: boolean;
  /** Whether the rate allows the request as far as this host knows. */
  readonly isWithinKnownRate: boolean;
  /** Time until the rate may allow the request, in milliseconds. */
  readonly pollMs: number;
};

/** What a `RateHold` needs of the limiter, for one request. */
type HoldOptions = {
  refund(): void;
  fits(now: number): boolean;
  consume(now: number): boolean;
  refresh(): Promise<void>;
};

/**
 * Tokens of a request that was admitted. While it waits for a server, others of
 * its workspace use them; it takes them again when it is sent.
 */
export class RateHold {
  readonly #options: HoldOptions;
  #isHeld = true;
  #isSent = false;
  #isRefreshing = false;

  constructor(options: HoldOptions) {
    this.#options = options;
  }

  /** Whether the request may be sent, as far as known. */
  fits(now: number): boolean {
    return this.#isHeld || this.#options.fits(now);
  }

  /** Takes the tokens to send the request; returns whether it may be sent. */
  take(now: number): boolean {
    if (!this.#isHeld) this.#isHeld = this.#options.consume(now);
    if (this.#isHeld) this.#isSent = true;
    else void this.#refresh();
    return this.#isHeld;
  }

  /** Lets others use the tokens, unless the request has been sent. */
  release(): void {
    if (!this.#isSent) this.refund();
  }

  /** Gives the tokens back for good, since no server ran the request. */
  refund(): void {
    if (this.#isHeld) this.#options.refund();
    this.#isHeld = false;
  }

  async #refresh(): Promise<void> {
    if (this.#isRefreshing) return;
    this.#isRefreshing = true;
    await this.#options.refresh();
    this.#isRefreshing = false;
  }
}

/** The place of a request that waits for a rate. */
export type Place = ReturnType<core.gateway.RateQueue["enter"]>;

/** Admits requests by the rates of their workspaces. */
export class RateGate {
  readonly #options: RateGateOptions;
  readonly #queue = new core.gateway.RateQueue();

  constructor(options: RateGateOptions) {
    this.#options = options;
  }

  /**
   * Deducts a request's tokens, or returns why it is not admitted.
   *
   * @param place of a request that has waited
   */
  tryConsume(
    workspace: string,
    tokens: number,
    place: Place | undefined,
    now: number,
  ): RateRefusal | undefined {
    const { rateLimiter } = this.#options;
    const isUsageKnown = this.#isUsageKnown(workspace);
    const ahead = this.#queue.tokensAhead(workspace, place);
    const waitMs = rateLimiter.waitMs(workspace, tokens, now, ahead);
    if (waitMs === 0 || ahead === 0) {
      const isAdmitted = isUsageKnown
        ? rateLimiter.tryConsume(workspace, tokens, now)
        : rateLimiter.tryConsumePart(workspace, tokens, now, Math.random());
      if (isAdmitted) return undefined;
    }
    return {
      workspace,
      tokens,
      isUsageKnown,
      isWithinKnownRate: waitMs === 0,
      pollMs: Math.max(isUsageKnown ? MIN_WAIT_MS : USAGE_POLL_MS, waitMs),
    };
  }

  /** Lets a request go before those that arrive later. */
  enter({ tokens, workspace }: RateRefusal): Place {
    return this.#queue.enter(workspace, tokens);
  }

  /**
   * Longest time that a request waits for its rate, from its arrival on, in ms.
   *
   * @param timeMs that the caller and the route give the request
   */
  longestWaitMs(
    { isUsageKnown, isWithinKnownRate }: RateRefusal,
    { targetMs }: gateway.Route,
    timeMs: number,
  ): number {
    const usualMs = targetMs * TARGET_FRACTION;
    return !isUsageKnown && isWithinKnownRate
      ? Math.max(usualMs, timeMs * UNKNOWN_USAGE_FRACTION)
      : usualMs;
  }

  /**
   * Begins to hold the tokens of a request that has been admitted.
   *
   * @param onTaken called when the request has taken them again
   */
  hold(workspace: string, tokens: number, onTaken: () => void): RateHold {
    const { rateLimiter } = this.#options;
    return new RateHold({
      refund: () => rateLimiter.refund(workspace, tokens),
      fits: (now) => {
        const ahead = this.#queue.tokensAhead(workspace);
        return rateLimiter.waitMs(workspace, tokens, now, ahead) === 0;
      },
      consume: (now) => {
        const refusal = this.tryConsume(workspace, tokens, undefined, now);
        if (refusal === undefined) onTaken();
        return refusal === undefined;
      },
      refresh: () => this.refreshLimited(workspace, tokens),
    });
  }

  /** Time after which a refused caller should come back, in milliseconds. */
  returnMs(
    { isUsageKnown, pollMs, tokens, workspace }: RateRefusal,
    perSecond: number,
    now: number,
  ): number {
    const waitMs = isUsageKnown
      ? pollMs
      : Math.max(UNKNOWN_USAGE_WAIT_MS, pollMs);
    const { hostCount } = this.#options.rateLimiter;
    return this.#queue.scheduleReturn(
      workspace,
      { tokens, perSecond, hostCount, waitMs },
      now,
    );
  }

  /**
   * Asks the leader for the usage of a workspace that is near its rate, or whose
   * request exceeds this host's part of the rate while the usage is unknown. What
   * this host knows may be older than the requests that other hosts admitted.
   */
  async refreshLimited(workspace: string, tokens: number): Promise<void> {
    const { rateLimiter, refreshUsage, view } = this.#options;
    const isAdmissible = this.#isUsageKnown(workspace) ||
      rateLimiter.fitsPart(workspace, tokens, performance.now());
    if (isAdmissible && !view.isWorkspaceLimited(workspace)) return;
    await refreshUsage();
  }

  /** Whether the leader has told what the other hosts have used lately. */
  #isUsageKnown(workspace: string): boolean {
    const { usageAgeMs, view } = this.#options;
    const maxAgeMs = view.isWorkspaceLimited(workspace)
      ? MAX_LIMITED_USAGE_AGE_MS
      : MAX_USAGE_AGE_MS;
    return usageAgeMs() <= maxAgeMs;
  }
}
