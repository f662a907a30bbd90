import type { gateway } from "@ebonypath/protocol";

/**
 * Part of the slots in use at which servers count as fully used. A request takes
 * a slot only at servers that hold its model, so some are short of slots long
 * before all are.
 */
const SLOT_USE = 0.6;
/** Part of the servers that may load models while the rest keeps serving. */
const LOADING_FRACTION = 0.5;
/**
 * Time for which a need must last before servers are ordered for it, in ms. It is
 * above the intervals in which hosts report, and short beside a boot.
 */
const SUSTAIN_MS = 1_000;
/** Longest time over which growth is followed, in ms, however long a boot is. */
const MAX_GROWTH_MS = 600_000;
/** Longest time between two samples of the use that belong together, in ms. */
const MAX_GAP_MS = 3_000;
/**
 * Time for which one server fewer must have been enough before one is given up,
 * in milliseconds. What a removal takes from callers, some model loads of about
 * ten seconds and a boot to undo it, is small beside it.
 */
const CALM_MS = 60_000;
/** Margin above the need that is to be left after a removal. */
const REMOVAL_MARGIN = 0.25;
/**
 * Time for which no further server must have been heard of before the first order
 * counts those that are there, in ms: more than two of their heartbeats.
 */
const ALL_HEARD_MS = 3_000;
/**
 * Time in boots after which servers that were ordered and don't serve are ordered
 * once more: one boot, and as much for the call and for noticing a loss.
 */
const MISSING_BOOTS = 2;
/** Shortest such time, in ms: above that after which a silent server is lost. */
const MIN_MISSING_MS = 15_000;
/** Longest time to which it grows while the servers still don't come, in ms. */
const MAX_MISSING_MS = 600_000;

/** Limits of a service that can be used, or why they can't. */
export type ScalingLimits =
  | {
    readonly kind: "usable";
    /** Fewest and most servers in a failure domain. */
    readonly min: number;
    readonly max: number;
    /** Time from an order until a new server serves, in milliseconds. */
    readonly bootMs: number;
  }
  | { readonly kind: "unusable"; readonly reason: string };

type UsableLimits = Extract<ScalingLimits, { kind: "usable" }>;

/** How the servers of a service are used over all hosts. */
export type ServiceUse = {
  /** Entry hosts that this is from; they drop out when they fall silent. */
  readonly hosts: number;
  /** Requests that run or wait. */
  readonly requests: number;
  /** Requests that one server runs at a time. */
  readonly slots: number;
  /** Models that requests wait for and no server holds. */
  readonly missingModels: number;
};

/** Servers of a service in a failure domain. */
export type DomainServers = {
  readonly domain: string;
  /** Servers that are heard. */
  readonly serving: number;
  /** The last order, whether it is accepted or not; null before the first. */
  readonly ordered: number | null;
  /** Whether an operator has withdrawn the domain. */
  readonly isWithdrawn: boolean;
};

/** What the number of a service's servers is decided by. */
export type ScalingSituation = {
  /** Monotonic time, in milliseconds. */
  readonly now: number;
  readonly limits: UsableLimits;
  readonly use: ServiceUse;
  /** Servers whose memory holds each model of the service once. */
  readonly serversForModels: number;
  readonly domains: readonly DomainServers[];
  /** Domains whose loss the other ones must bear. */
  readonly toleratedDomains: number;
};

/** Why a number of servers is ordered. */
export type OrderReason =
  /** Nothing was ordered before. */
  | "first"
  | "need"
  | "calm"
  /** The last order lies outside of new limits. */
  | "limits"
  /** Servers that were ordered don't serve. */
  | "missing";

/** The number of servers that a failure domain is to have. */
export type DomainOrder = {
  readonly domain: string;
  readonly count: number;
  readonly reason: OrderReason;
};

type Sample = { readonly at: number; readonly need: number };

/** Servers of a domain that were ordered and don't serve. */
type MissingServers = {
  readonly ordered: number;
  /** Time since which they are missing, or of the last repetition. */
  readonly since: number;
  /** Time from then until the order is repeated, in milliseconds. */
  readonly waitMs: number;
};

/**
 * Checks the limits of a service.
 *
 * @example
 * ```ts
 * scalingLimits({ min: 2, max: 1, bootMs: 8_000 });
 * // { kind: "unusable", reason: "min 2 is above max 1" }
 * ```
 */
export function scalingLimits(
  { bootMs, max, min }: gateway.Scaling,
): ScalingLimits {
  const unusable = (reason: string) => ({ kind: "unusable", reason } as const);
  if (min === undefined || !isCount(min)) return unusable(`min is ${min}`);
  if (max === undefined || !isCount(max)) return unusable(`max is ${max}`);
  if (min > max) return unusable(`min ${min} is above max ${max}`);
  if (bootMs === undefined || !(bootMs >= 0) || !Number.isFinite(bootMs)) {
    return unusable(`boot time is ${bootMs}`);
  }
  return { kind: "usable", min, max, bootMs };
}

/**
 * Servers that would bear a use, as a fraction.
 *
 * @example
 * ```ts
 * serversNeeded({ hosts: 4, requests: 72, slots: 12, missingModels: 2 }); // 10
 * ```
 */
export function serversNeeded(
  { missingModels, requests, slots }: ServiceUse,
): number {
  return Math.max(
    requests / (Math.max(1, slots) * SLOT_USE),
    missingModels / LOADING_FRACTION,
  );
}

/**
 * Decides how many servers of one service each failure domain is to have. The
 * number follows a lasting need at once, and ahead of it by its growth over the
 * time of a boot; it falls by one server after a long calm. Being short costs
 * callers far more than a server does.
 *
 * @example
 * ```ts
 * const orders = serverCount.decide({ now, limits, use, domains, toleratedDomains: 1 });
 * ```
 */
export class ServerCount {
  #samples: Sample[] = [];
  #calmSince: number | null = null;
  #hosts = 0;
  /** Most servers that were heard at a time, by domain. */
  readonly #mostServing = new Map<string, number>();
  /** Time since which no more servers were heard of. */
  #mostServingSince = Infinity;
  readonly #missing = new Map<string, MissingServers>();

  /** Forgets what was seen, because time has passed unnoticed. */
  reset(): void {
    this.#samples = [];
    this.#calmSince = null;
    this.#missing.clear();
  }

  /** Orders that differ from the last ones, or repeat them. */
  decide(situation: ScalingSituation): DomainOrder[] {
    this.#record(situation);
    const domains = situation.domains.filter(({ isWithdrawn }) => !isWithdrawn);
    const raised = this.#raise(situation, domains);
    const hasRaised = raised.some(({ reason }) => reason === "need");
    const removed = this.#lower(situation, domains, hasRaised);
    const changed = [...raised, ...removed];
    return [
      ...changed,
      ...this.#repeat(situation, domains).filter(({ domain }) =>
        !changed.some((order) => order.domain === domain)
      ),
    ];
  }

  #record({ domains, limits, now, use }: ScalingSituation): void {
    for (const { domain, serving } of domains) {
      if (serving <= this.#mostServingIn(domain)) continue;
      this.#mostServing.set(domain, serving);
      this.#mostServingSince = now;
    }
    const last = this.#samples.at(-1);
    if (last !== undefined && now - last.at > MAX_GAP_MS) this.reset();
    // The requests of a host that fell silent are missing, not over.
    if (use.hosts < this.#hosts) this.#calmSince = null;
    this.#hosts = use.hosts;
    if (use.hosts === 0) return this.reset();
    this.#samples.push({ at: now, need: serversNeeded(use) });
    const earliest = now - growthMs(limits) - 2 * SUSTAIN_MS;
    this.#samples = this.#samples.filter(({ at }) => at >= earliest);
  }

  #raise(
    situation: ScalingSituation,
    domains: readonly DomainServers[],
  ): DomainOrder[] {
    const { limits, now } = situation;
    const wanted = countPerDomain(
      situation,
      this.#expectedNeed(growthMs(limits), now),
    );
    const first = this.#firstCount(situation, wanted);
    return domains.flatMap(({ domain, ordered }): DomainOrder[] => {
      if (ordered === null) {
        if (first === undefined) return [];
        // What a domain has beyond its part may be loaded with models.
        const most = Math.max(first, this.#mostServingIn(domain));
        return [{ domain, count: clamp(most, limits), reason: "first" }];
      }
      if (wanted > ordered) return [{ domain, count: wanted, reason: "need" }];
      const count = clamp(ordered, limits);
      return count === ordered ? [] : [{ domain, count, reason: "limits" }];
    });
  }

  /**
   * What to order before the use can tell: the servers that are there bear it, and
   * any model may be asked for.
   */
  #firstCount(situation: ScalingSituation, wanted: number): number | undefined {
    const { domains, limits, now, serversForModels } = situation;
    const serving = domains.reduce(
      (sum, { domain }) => sum + this.#mostServingIn(domain),
      0,
    );
    const count = Math.max(
      wanted,
      countPerDomain(situation, serving),
      countPerDomain(situation, serversForModels),
    );
    const isKnown = now - this.#mostServingSince >= ALL_HEARD_MS;
    return isKnown || count === limits.max ? count : undefined;
  }

  #mostServingIn(domain: string): number {
    return this.#mostServing.get(domain) ?? 0;
  }

  /** Need after a time, usually that of a boot, as it has grown over it. */
  #expectedNeed(aheadMs: number, now: number): number {
    const need = this.#lastingNeed(now);
    if (need === undefined) return 0;
    // The first requests tell what is needed, not how it grows.
    const before = this.#lastingNeed(now - aheadMs) || need;
    return need + Math.max(0, need - before);
  }

  /** The need that lasted until a time; a single peak is none. */
  #lastingNeed(until: number): number | undefined {
    const [first] = this.#samples;
    if (first === undefined || first.at > until - SUSTAIN_MS) return undefined;
    const needs = this.#samples
      .filter(({ at }) => at > until - SUSTAIN_MS && at <= until)
      .map(({ need }) => need);
    return needs.length === 0 ? undefined : Math.min(...needs);
  }

  #lower(
    situation: ScalingSituation,
    domains: readonly DomainServers[],
    hasRaised: boolean,
  ): DomainOrder[] {
    const { limits, now } = situation;
    const latest = this.#samples.at(-1);
    const [largest] = domains
      .filter(({ ordered }) => ordered !== null)
      .sort((a, b) => (b.ordered ?? 0) - (a.ordered ?? 0));
    if (latest === undefined || largest === undefined) return [];
    const count = (largest.ordered ?? 0) - 1;
    const need = latest.need * (1 + REMOVAL_MARGIN);
    const isEnough = count >= limits.min &&
      count >= countPerDomain(situation, need);
    if (hasRaised || !isEnough) {
      this.#calmSince = null;
      return [];
    }
    this.#calmSince ??= now;
    if (now - this.#calmSince < CALM_MS) return [];
    this.#calmSince = now;
    return [{ domain: largest.domain, count, reason: "calm" }];
  }

  #repeat(
    { limits, now }: ScalingSituation,
    domains: readonly DomainServers[],
  ): DomainOrder[] {
    const firstMs = Math.max(MIN_MISSING_MS, MISSING_BOOTS * limits.bootMs);
    const longestMs = Math.max(firstMs, MAX_MISSING_MS);
    return domains.flatMap(({ domain, ordered, serving }): DomainOrder[] => {
      if (ordered === null || serving >= ordered) {
        this.#missing.delete(domain);
        return [];
      }
      const known = this.#missing.get(domain);
      if (known?.ordered !== ordered) {
        this.#missing.set(domain, { ordered, since: now, waitMs: firstMs });
        return [];
      }
      if (now - known.since < known.waitMs) return [];
      const waitMs = Math.min(longestMs, 2 * known.waitMs);
      this.#missing.set(domain, { ordered, since: now, waitMs });
      return [{ domain, count: ordered, reason: "missing" }];
    });
  }
}

/** The servers of each domain, if those that are left must bear a need. */
function countPerDomain(
  { domains, limits, toleratedDomains }: ScalingSituation,
  need: number,
): number {
  const inUse = domains.filter(({ isWithdrawn }) => !isWithdrawn).length;
  // A domain that is withdrawn is one of those whose loss is borne.
  const left = Math.max(1, Math.min(inUse, domains.length - toleratedDomains));
  return clamp(Math.ceil(need / left), limits);
}

function growthMs({ bootMs }: UsableLimits): number {
  return Math.min(bootMs, MAX_GROWTH_MS);
}

function clamp(count: number, { max, min }: UsableLimits): number {
  return Math.min(max, Math.max(min, count));
}

function isCount(value: number): boolean {
  return Number.isSafeInteger(value) && value >= 0;
}
