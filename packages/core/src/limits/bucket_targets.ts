/**
 * Computes the target share of each holder of one workspace's token bucket.
 *
 * @module
 */

import type * as protocol from "@ebonypath/protocol";
import * as fairDivision from "./fair_division.ts";
import type { ShareSize } from "./allocation_table.ts";
import type { BucketLimit } from "./types.ts";

/** Seconds of recent consumption for which a holder gets tokens in advance. */
const BUFFER_SECONDS = 1.5;

/**
 * Fraction of the burst that holders with low usage keep as a buffer, in total.
 */
const MIN_BUFFER_FRACTION = 0.25;

/** Usage below which a holder gets no buffer, in tokens per second. */
const MIN_BUFFERED_USAGE = 0.01;

/**
 * Fraction of a holder's usage that its own refill covers. The pool supplies
 * the rest, so that no refill is lost in a share that is already full.
 */
const OWN_REFILL_FRACTION = 0.9;

/** What the leader knows about one holder; all amounts in tokens. */
export type HolderState = {
  /** Tokens that the holder can reserve. */
  readonly available: number;
  /** Tokens granted but not acknowledged yet. */
  readonly pending: number;
  /** Tokens reserved for running requests. */
  readonly reserved: number;
  /** Recent consumption, in tokens per second. */
  readonly usage: number;
  readonly demand: protocol.limits.TokenDemand;
};

/**
 * The target share of a holder; `level` tokens are transferred from the pool.
 */
export type Target = ShareSize & { readonly level: number };

/**
 * Computes the share that a holder should have if the whole pool could be
 * redistributed freely.
 *
 * @param holders State of all holders, including `holder`.
 * @param level Tokens in the pool itself.
 *
 * @example
 * ```ts
 * const { capacity, rate, level } = targetOf("host-1/a", holders, 80, limit);
 * ```
 */
export function targetOf(
  holder: string,
  holders: ReadonlyMap<string, HolderState>,
  level: number,
  limit: BucketLimit,
): Target {
  const states = [...holders.values()];
  const index = [...holders.keys()].indexOf(holder);
  const reserved = sum(states.map((state) => state.reserved));
  const free = limit.burst - reserved;
  const demands = demandsOf(states, free, level, limit);
  const capacities = fairDivision.divide(free, demands);
  const rates = fairDivision.divideMaxMin(
    limit.rate,
    states.map((state, position) =>
      capacities[position]! > 0 ? desiredRate(state) : 0
    ),
  );
  const levels = fairDivision.divide(
    level,
    demands.map((demand, position) =>
      shortage(demand, availableOrPending(states[position]!))
    ),
  );
  return {
    capacity: capacities[index]! + states[index]!.reserved,
    rate: rates[index]!,
    level: levels[index]!,
  };
}

/**
 * Returns the holders' demands for the unreserved part of the burst. If that
 * part is too small for a holder's oldest request, the holder gets nothing yet:
 * its share would fill up without serving the request and then stop refilling.
 * Meanwhile no holder gets more than its oldest request needs, so that the next
 * request in line is admitted before any younger one.
 */
function demandsOf(
  states: readonly HolderState[],
  free: number,
  level: number,
  limit: BucketLimit,
): fairDivision.Demand[] {
  const short = states.map((state) =>
    Math.max(0, state.demand.tokens - availableOrPending(state))
  );
  const isScarce = sum(short) > level;
  const demands = states.map((state) =>
    demandOf(state, isScarce, limit.burst, states.length)
  );
  const heads = fairDivision.allocateHeads(free, demands);
  if (heads.areAllServed) return demands;
  return demands.map(({ headAgeMs }, index) => {
    const head = heads.parts[index]!;
    return { head, headAgeMs, needed: head, buffered: head };
  });
}

function demandOf(
  { demand, usage }: HolderState,
  isScarce: boolean,
  burst: number,
  holders: number,
): fairDivision.Demand {
  const needed = Math.max(demand.tokens, usage * BUFFER_SECONDS);
  const hasBuffer = !isScarce && usage > MIN_BUFFERED_USAGE;
  const buffered = burst * MIN_BUFFER_FRACTION / holders;
  return {
    head: Math.min(demand.head, burst),
    headAgeMs: demand.headAgeMs,
    needed,
    buffered: hasBuffer ? Math.max(needed, buffered) : needed,
  };
}

/** Returns the part of a demand that the available tokens don't cover. */
function shortage(
  demand: fairDivision.Demand,
  available: number,
): fairDivision.Demand {
  return {
    head: Math.max(0, demand.head - available),
    headAgeMs: demand.headAgeMs,
    needed: Math.max(0, demand.needed - available),
    buffered: Math.max(0, demand.buffered - available),
  };
}

function desiredRate(state: HolderState): number {
  return state.usage * OWN_REFILL_FRACTION + state.demand.tokens;
}

/** Tokens for new requests that the holder has or is about to receive. */
function availableOrPending(state: HolderState): number {
  return state.available + state.pending;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
