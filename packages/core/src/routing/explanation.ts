/**
 * Explains where a request would go now, without sending it.
 *
 * @module
 */

import type { operators } from "@ebonypath/protocol";

/** What a host knows of a backend server, with respect to one request. */
export type ServerOutlook = {
  readonly server: string;
  readonly failureDomain: string;
  readonly isUsable: boolean;
  readonly isInWithdrawnDomain: boolean;
  readonly model: "ready" | "loading" | "absent";
  /** Whether it is left out after failures that this host has seen. */
  readonly isEjected: boolean;
  /** Requests that this host may start on it now. */
  readonly freeSlots: number;
};

/** All that decides on the start of one request. */
export type StartOutlook = {
  /** Whether a leader has confirmed what the host knows. */
  readonly isCurrent: boolean;
  /** Tokens that the request reserves. */
  readonly tokens: number;
  /** Absent where no rate applies. */
  readonly rate: operators.RateOutlook | undefined;
  readonly servers: readonly ServerOutlook[];
  /** Time that requests before this one take, in milliseconds. */
  readonly queueWaitMs: number;
  /** Time after which a start would be too late, in milliseconds. */
  readonly latestStartMs: number;
};

/** What a request would have to wait for first. */
type Awaited = Extract<
  operators.StartForecast,
  { readonly kind: "waits" }
>["for"];

/** What would happen to the request. */
export type StartForecast =
  /** Sent at once to one of these servers, the freest one first. */
  | { readonly kind: "starts"; readonly servers: readonly string[] }
  | {
    readonly kind: "waits";
    readonly for: Awaited;
    /** In milliseconds; unknown for a leader and for loads. */
    readonly expectedMs: number | undefined;
  }
  /** Refused at once. */
  | {
    readonly kind: "refused";
    readonly for: "burst" | "tokens" | "slot";
    /** How much too late what it needs is expected; infinite for the burst. */
    readonly lateMs: number;
  };

/**
 * Forecasts what would happen to a request now.
 *
 * @example
 * ```ts
 * const forecast = forecastStart(outlook);
 * if (forecast.kind === "starts") print(forecast.servers);
 * ```
 */
export function forecastStart(outlook: StartOutlook): StartForecast {
  const { isCurrent, latestStartMs, queueWaitMs, rate, servers, tokens } =
    outlook;
  if (!isCurrent) return waits("leader", undefined);
  if (rate !== undefined && tokens > rate.burst) {
    return { kind: "refused", for: "burst", lateMs: Infinity };
  }
  const tokensMs = rate === undefined ? 0 : tokenWaitMs(rate, tokens);
  if (tokensMs > 0) {
    return waitsOrRefused("tokens", tokensMs, latestStartMs);
  }
  if (queueWaitMs > 0) {
    return waitsOrRefused("slot", queueWaitMs, latestStartMs);
  }
  const free = servers
    .filter((server) => obstaclesOf(server).length === 0)
    .toSorted((one, other) => other.freeSlots - one.freeSlots);
  if (free.length > 0) {
    return { kind: "starts", servers: free.map(({ server }) => server) };
  }
  const isHeld = servers.some((server) => mayRun(server));
  return waits(isHeld ? "slot" : "load", undefined);
}

/**
 * Lists all that speaks against a server.
 *
 * @example
 * ```ts
 * obstaclesOf(outlook); // ["model-loading", "no-free-slot"]
 * ```
 */
export function obstaclesOf(outlook: ServerOutlook): operators.Obstacle[] {
  const obstacles: operators.Obstacle[] = [];
  if (!outlook.isUsable) obstacles.push("unusable");
  if (outlook.isInWithdrawnDomain) obstacles.push("withdrawn-failure-domain");
  if (outlook.model !== "ready") obstacles.push(`model-${outlook.model}`);
  if (outlook.isEjected) obstacles.push("ejected");
  if (outlook.freeSlots <= 0) obstacles.push("no-free-slot");
  return obstacles;
}

function mayRun(
  { isInWithdrawnDomain, isUsable, model }: ServerOutlook,
): boolean {
  return isUsable && !isInWithdrawnDomain && model === "ready";
}

function tokenWaitMs(
  { availableTokens, tokensAhead, tokensPerSecond }: operators.RateOutlook,
  tokens: number,
): number {
  const missing = tokensAhead + tokens - availableTokens;
  return missing <= 0 ? 0 : missing / tokensPerSecond * 1_000;
}

function waitsOrRefused(
  awaited: "tokens" | "slot",
  waitMs: number,
  latestStartMs: number,
): StartForecast {
  // Without a share, the leader is asked for one; how long it takes is unknown.
  if (!Number.isFinite(waitMs)) return waits(awaited, undefined);
  return waitMs <= latestStartMs
    ? waits(awaited, waitMs)
    : { kind: "refused", for: awaited, lateMs: waitMs - latestStartMs };
}

function waits(
  awaited: Awaited,
  expectedMs: number | undefined,
): StartForecast {
  return { kind: "waits", for: awaited, expectedMs };
}
