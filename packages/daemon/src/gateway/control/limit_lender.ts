/**
 * Lends units of limits that hold for all entry hosts together.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";

/** Time after which the pool of a cold server that nobody asks for is dropped. */
const UNUSED_MS = 60_000;

/** Options of a limit lender. */
export interface LimitLenderOptions {
  /** Retries that all hosts together may send to each service. */
  readonly retryBudget: core.gateway.FleetRetryBudget;
  /** Limit of a cold server, in requests per second; 0 if there is none. */
  coldRequestsPerSecond(server: string): number;
}

type ColdServerPool = {
  readonly pool: core.gateway.LendingPool;
  usedAt: number;
};

/** Lends units during one leadership. */
export class LimitLender {
  readonly #options: LimitLenderOptions;
  readonly #allowance: core.gateway.RetryAllowance;
  /** By service. */
  readonly #retries = new Map<string, core.gateway.LendingPool>();
  /** By server. */
  readonly #coldServers = new Map<string, ColdServerPool>();

  constructor(options: LimitLenderOptions) {
    this.#options = options;
    this.#allowance = core.gateway.retryAllowance(options.retryBudget);
  }

  /**
   * Lends what is available of the wanted units.
   *
   * @param hostCount hosts that share the retry budgets
   * @param requests first attempts, which add to the retry budgets
   */
  lend(
    hostCount: number,
    requests: readonly gateway.RequestCount[],
    wanted: readonly gateway.LimitUnits[],
    now: number,
  ): gateway.LimitUnits[] {
    const areRetriesLent = core.gateway.areRetriesLent(
      this.#options.retryBudget,
      hostCount,
    );
    const pool = core.gateway.retryPool(this.#options.retryBudget, hostCount);
    for (const { count, service } of requests) {
      const retries = this.#retryPool(service, pool, now);
      // Hosts with a share of their own add to it with each request.
      if (areRetriesLent) retries.deposit(count * this.#allowance.perRequest);
    }
    return wanted
      .map(({ limit, name, units }) => ({
        limit,
        name,
        units: limit === "retries"
          ? this.#retryPool(name, pool, now).lend(units, now)
          : this.#lendColdRequests(name, units, now),
      }))
      .filter(({ units }) => units > 0);
  }

  #retryPool(
    service: string,
    options: core.gateway.LendingPoolOptions,
    now: number,
  ): core.gateway.LendingPool {
    const pool = this.#retries.get(service) ??
      new core.gateway.LendingPool(options, now);
    pool.setOptions(options, now);
    this.#retries.set(service, pool);
    return pool;
  }

  #lendColdRequests(server: string, wanted: number, now: number): number {
    const perSecond = this.#options.coldRequestsPerSecond(server);
    if (perSecond === 0) return wanted;
    const options = core.gateway.coldServerPool(perSecond);
    const known = this.#coldServers.get(server) ??
      { pool: new core.gateway.LendingPool(options, now), usedAt: now };
    known.pool.setOptions(options, now);
    known.usedAt = now;
    this.#coldServers.set(server, known);
    for (const [id, { usedAt }] of this.#coldServers) {
      if (now - usedAt > UNUSED_MS) this.#coldServers.delete(id);
    }
    return known.pool.lend(wanted, now);
  }
}
