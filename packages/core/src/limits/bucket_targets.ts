/**
 * What each holder should have of one workspace's token bucket.
 *
 * @module
 */

import type * as protocol from "@ebonypath/protocol";
import * as division from "./fair_division.ts";
import type { ShareSize } from "./allocation_table.ts";
import type { BucketLimit } from "./types.ts";

/** Seconds of recent consumption that a holder gets tokens for in advance. */
const STOCK_SECONDS = 1.5;

/** Part of the burst that holders with little to do keep as a stock. */
const IDLE_STOCK_FRACTION = 0.25;

/** Consumption below which a holder keeps no stock, in tokens per second. */
const IDLE_USAGE = 0.01;

/**
 * Part of a holder's consumption that its own refill covers. The pool tops up
 * the rest, so that no holder's refill is wasted on a full share.
 */
const RATE_COVER = 0.9;

/** What the leader knows of one holder; all amounts in tokens. */
export type Situation = {
  /** May be reserved by the holder. */
  readonly available: number;
  /** On its way to the holder. */
  readonly pending: number;
  /** Set aside for requests that run. */
  readonly reserved: number;
  /** Recent consumption, in tokens per second. */
  readonly usage: number;
  readonly demand: protocol.limits.TokenDemand;
};

/** What a holder should have; `level` comes from the pool. */
export type Target = ShareSize & { readonly level: number };

/**
 * What a holder should have, were all of the pool free to be moved.
 *
 * @param holders what is known of all holders, this one included
 * @param level tokens in the pool itself
 *
 * @example
 * ```ts
 * const { capacity, rate, level } = targetOf("host-1/a", holders, 80, limit);
 * ```
 */
export function targetOf(
  holder: string,
  holders: ReadonlyMap<string, Situation>,
  level: number,
  limit: BucketLimit,
): Target {
  const situations = [...holders.values()];
  const index = [...holders.keys()].indexOf(holder);
  const reserved = sum(situations.map((situation) => situation.reserved));
  const free = limit.burst - reserved;
  const claims = claimsOf(situations, free, level, limit);
  const capacities = division.divide(free, claims);
  const rates = division.divideMaxMin(
    limit.rate,
    situations.map((situation, place) =>
      capacities[place]! > 0 ? rateWish(situation) : 0
    ),
  );
  const levels = division.divide(
    level,
    claims.map((claim, place) => shortage(claim, held(situations[place]!))),
  );
  return {
    capacity: capacities[index]! + situations[index]!.reserved,
    rate: rates[index]!,
    level: levels[index]!,
  };
}

/**
 * What the holders want of the part of the burst that is free. A request that
 * this is too small for gets nothing yet: its share would fill up, be of no
 * use, and refill no more. Nobody has more than its own request meanwhile, so
 * that the one in line gets in before any younger request.
 */
function claimsOf(
  situations: readonly Situation[],
  free: number,
  level: number,
  limit: BucketLimit,
): division.Demand[] {
  const short = situations.map((situation) =>
    Math.max(0, situation.demand.tokens - held(situation))
  );
  const isScarce = sum(short) > level;
  const claims = situations.map((situation) =>
    claimOf(situation, isScarce, limit.burst, situations.length)
  );
  const heads = division.allocateHeads(free, claims);
  if (heads.areServed) return claims;
  return claims.map(({ headAgeMs }, place) => {
    const head = heads.parts[place]!;
    return { head, headAgeMs, want: head, stock: head };
  });
}

function claimOf(
  { demand, usage }: Situation,
  isScarce: boolean,
  burst: number,
  holders: number,
): division.Demand {
  const want = Math.max(demand.tokens, usage * STOCK_SECONDS);
  const hasStock = !isScarce && usage > IDLE_USAGE;
  const stock = burst * IDLE_STOCK_FRACTION / holders;
  return {
    head: Math.min(demand.head, burst),
    headAgeMs: demand.headAgeMs,
    want,
    stock: hasStock ? Math.max(want, stock) : want,
  };
}

/** The part of a claim that the tokens at hand do not cover. */
function shortage(claim: division.Demand, available: number): division.Demand {
  return {
    head: Math.max(0, claim.head - available),
    headAgeMs: claim.headAgeMs,
    want: Math.max(0, claim.want - available),
    stock: Math.max(0, claim.stock - available),
  };
}

function rateWish(situation: Situation): number {
  return situation.usage * RATE_COVER + situation.demand.tokens;
}

/** Tokens that the holder has or is about to have for new requests. */
function held(situation: Situation): number {
  return situation.available + situation.pending;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
