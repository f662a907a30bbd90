/**
 * Slots for requests whose model is being loaded: asked for while the load is
 * under way, so that they are here when it ends.
 *
 * @module
 */
import type * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import type * as host from "../host/mod.ts";
import type * as types from "./types.ts";

/** What the expectation works with. */
export interface ExpectedSlotsOptions {
  readonly state: Pick<host.FleetState, "servers">;
  readonly shares: Pick<core.limits.HostShares, "setExpectedSlots">;
  /** Works that wait at this host. */
  waiting(): Iterable<types.Work>;
  /** Asks the leader for shares, soon. */
  requestExchange(): void;
}

/** Tells the shares which servers will be wanted when their loads end. */
export class ExpectedSlots {
  readonly #options: ExpectedSlotsOptions;
  /** Requests by the pool that was told of them. */
  #expected = new Map<string, number>();

  constructor(options: ExpectedSlotsOptions) {
    this.#options = options;
  }

  /** Counts anew, after servers or the waiting requests have changed. */
  update(now: number): void {
    const loading = [...this.#options.state.servers.values()]
      .filter((server) => server.usable && server.loading !== undefined);
    if (loading.length === 0 && this.#expected.size === 0) return;
    this.#tell(this.#count(loading), now);
  }

  #count(
    loading: readonly protocol.control.ServerStatus[],
  ): Map<string, number> {
    const byTarget = new Map<string, number>();
    for (const { target } of this.#options.waiting()) {
      byTarget.set(target, (byTarget.get(target) ?? 0) + 1);
    }
    const expected = new Map<string, number>();
    for (const server of loading) {
      const count = (server.loading ?? [])
        .reduce((sum, target) => sum + (byTarget.get(target) ?? 0), 0);
      if (count > 0) expected.set(protocol.control.slotPoolName(server), count);
    }
    return expected;
  }

  #tell(expected: Map<string, number>, now: number): void {
    const { shares } = this.#options;
    let isMore = false;
    for (const pool of this.#expected.keys()) {
      if (!expected.has(pool)) shares.setExpectedSlots(pool, 0, now);
    }
    for (const [pool, count] of expected) {
      isMore ||= count > (this.#expected.get(pool) ?? 0);
      shares.setExpectedSlots(pool, count, now);
    }
    this.#expected = expected;
    if (isMore) this.#options.requestExchange();
  }
}
