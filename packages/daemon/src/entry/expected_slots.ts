/**
 * Requests slots on servers that are loading a model, so that waiting requests
 * have slots when the load completes.
 *
 * @module
 */
import type * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import type * as host from "../host/mod.ts";
import type * as types from "./types.ts";

/** Dependencies of {@link ExpectedSlots}. */
export interface ExpectedSlotsOptions {
  readonly state: Pick<host.FleetState, "servers">;
  readonly shares: Pick<core.limits.HostShares, "setExpectedSlots">;
  /** Iterates over the work that waits at this host. */
  waiting(): Iterable<types.Work>;
  /** Requests an early exchange with the leader, to obtain shares. */
  requestExchange(): void;
}

/** Publishes the slots that will be needed on servers after their loads. */
export class ExpectedSlots {
  readonly #options: ExpectedSlotsOptions;
  /** Published number of expected requests, by slot pool. */
  #published = new Map<string, number>();

  constructor(options: ExpectedSlotsOptions) {
    this.#options = options;
  }

  /** Recomputes the counts, after servers or waiting requests have changed. */
  update(now: number): void {
    const loading = [...this.#options.state.servers.values()]
      .filter((server) => server.usable && server.loading !== undefined);
    if (loading.length === 0 && this.#published.size === 0) return;
    this.#publish(this.#countByPool(loading), now);
  }

  #countByPool(
    loading: readonly protocol.control.ServerStatus[],
  ): Map<string, number> {
    const waitingByTarget = new Map<string, number>();
    for (const { target } of this.#options.waiting()) {
      waitingByTarget.set(target, (waitingByTarget.get(target) ?? 0) + 1);
    }
    const expected = new Map<string, number>();
    for (const server of loading) {
      const count = (server.loading ?? [])
        .reduce((sum, target) => sum + (waitingByTarget.get(target) ?? 0), 0);
      if (count > 0) expected.set(protocol.control.slotPoolName(server), count);
    }
    return expected;
  }

  #publish(expected: Map<string, number>, now: number): void {
    const { shares } = this.#options;
    let hasIncreased = false;
    for (const pool of this.#published.keys()) {
      if (!expected.has(pool)) shares.setExpectedSlots(pool, 0, now);
    }
    for (const [pool, count] of expected) {
      hasIncreased ||= count > (this.#published.get(pool) ?? 0);
      shares.setExpectedSlots(pool, count, now);
    }
    this.#published = expected;
    if (hasIncreased) this.#options.requestExchange();
  }
}
