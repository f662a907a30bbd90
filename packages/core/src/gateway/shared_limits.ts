import { type LendingPoolOptions } from "./lending_pool.ts";

/**
 * Fraction of the fleet's retry budget that is used. The rest covers units that
 * were lent in one window and are used in the next, and changes of the leader.
 */
const USED_RETRY_FRACTION = 0.6;
const SECOND_MS = 1_000;
/** Time within which a host uses a borrowed retry, in milliseconds. */
export const RETRY_UNIT_LIFETIME_MS = 1_000;
/** Time within which a host uses a borrowed cold-server request, in ms. */
export const COLD_UNIT_LIFETIME_MS = 250;
/**
 * Requests to a cold server that may be saved up, in seconds of its limit.
 * Together with the lifetime of a unit, any second has at most 1.5 times the
 * limit.
 */
const COLD_BURST_SECONDS = 0.25;

/** Retries that all hosts together may send to each service. */
export interface FleetRetryBudget {
  /** Retries per request. */
  readonly ratio: number;
  /** Additional retries in each window. */
  readonly slack: number;
  /** Length of a window, in milliseconds. */
  readonly windowMs: number;
}

/** Parts of a retry budget. */
export type RetryAllowance = {
  /** Retries that may be saved up for a burst. */
  readonly burst: number;
  /** Retries that accrue per second, whatever the number of requests. */
  readonly perSecond: number;
  /** Retries that accrue with each request. */
  readonly perRequest: number;
};

/**
 * Divides a retry budget: half of the slack may be saved up for a burst, the
 * other half accrues at a constant rate.
 *
 * @example
 * ```ts
 * retryAllowance({ ratio: 0.2, slack: 100, windowMs: 10_000 });
 * // { burst: 30, perSecond: 3, perRequest: 0.12 }
 * ```
 */
export function retryAllowance(
  { ratio, slack, windowMs }: FleetRetryBudget,
): RetryAllowance {
  const half = slack * USED_RETRY_FRACTION / 2;
  return {
    burst: half,
    perSecond: half / (windowMs / SECOND_MS),
    perRequest: ratio * USED_RETRY_FRACTION,
  };
}

/**
 * Whether hosts borrow retries from the leader. They do where a share of the
 * saved-up retries would be less than one for each host.
 *
 * @example
 * ```ts
 * areRetriesLent({ ratio: 0.2, slack: 100, windowMs: 10_000 }, 195); // true
 * ```
 */
export function areRetriesLent(
  budget: FleetRetryBudget,
  hostCount: number,
): boolean {
  return retryAllowance(budget).burst < hostCount;
}

/**
 * Retries that the leader lends to hosts which have used up their own share, while
 * others may have all of theirs: a quarter of what is divided. With it, 0.75 of the
 * budget is used at most.
 */
const RESERVE_FRACTION = 0.25;

/**
 * Pool of the retries that the leader lends.
 *
 * @example
 * ```ts
 * const budget = { ratio: 0.2, slack: 100, windowMs: 10_000 };
 * retryPool(budget, 195); // all of them: { perSecond: 3, burst: 30 }
 * retryPool(budget, 9); // a reserve: { perSecond: 0.75, burst: 7.5 }
 * ```
 */
export function retryPool(
  budget: FleetRetryBudget,
  hostCount: number,
): LendingPoolOptions {
  const { burst, perSecond } = retryAllowance(budget);
  const fraction = areRetriesLent(budget, hostCount) ? 1 : RESERVE_FRACTION;
  return { burst: burst * fraction, perSecond: perSecond * fraction };
}

/**
 * Whether a host that has used up its own share of the retries can get one from
 * the leader: of a reserve of less than one, none is ever lent.
 *
 * @example
 * ```ts
 * const budget = { ratio: 0.2, slack: 10, windowMs: 10_000 };
 * canBorrowRetries(budget, 3); // false; a reserve of 0.75
 * canBorrowRetries(budget, 9); // true; all of them are lent
 * ```
 */
export function canBorrowRetries(
  budget: FleetRetryBudget,
  hostCount: number,
): boolean {
  return areRetriesLent(budget, hostCount) ||
    retryPool(budget, hostCount).burst >= 1;
}

/**
 * Pool of the requests per second that all hosts may send to a cold server.
 *
 * @example
 * ```ts
 * coldServerPool(12); // { perSecond: 12, burst: 3 }
 * ```
 */
export function coldServerPool(perSecond: number): LendingPoolOptions {
  return { perSecond, burst: Math.max(1, perSecond * COLD_BURST_SECONDS) };
}
