import type * as protocol from "@ebonypath/protocol";
import * as arrivals from "./arrivals.ts";
import * as backoff from "./backoff.ts";
import * as capacity from "./capacity.ts";
import * as context from "./context.ts";
import * as demand from "./demand.ts";
import * as dispatch from "./dispatch.ts";
import * as estimates from "./estimates.ts";
import * as fleet from "./fleet.ts";
import * as orders from "./orders.ts";
import * as placedIndex from "./placed_index.ts";
import * as planner from "./planner.ts";
import * as proposals from "./proposals.ts";
import * as scene from "./scene.ts";
import * as storeGate from "./store_gate.ts";
import * as tracks from "./track.ts";
import * as types from "./types.ts";
import * as upkeep from "./upkeep.ts";

/**
 * Decides which backend server holds which model, on the leader.
 *
 * It holds soft state only: a new leader starts with a new instance and the
 * committed decisions. Each action of `plan` is carried out once: proposals
 * are reported back with `settle`, orders with `answer`.
 *
 * @example
 * ```ts
 * const placement = new Placement(leadership);
 * placement.recordAnnouncement(announcement, nowMs);
 * placement.recordDemand("host-1", demands, nowMs);
 * for (const action of placement.plan(facts)) carryOut(action);
 * ```
 */
export class Placement {
  readonly #servers = new fleet.ServerRegistry();
  readonly #demand = new demand.DemandAggregator();
  readonly #proposals = new proposals.Proposals();
  readonly #placed = new placedIndex.PlacedIndex();
  readonly #memory: context.Memory;
  #deferred: readonly demand.TargetDemand[] = [];
  #scene: scene.Scene | undefined;

  constructor(
    leadership: orders.Leadership,
    store: storeGate.StoreLimits = storeGate.DEFAULT_STORE_LIMITS,
  ) {
    this.#memory = {
      orders: new orders.Orders(leadership),
      estimates: new estimates.LoadTimeEstimator(),
      gate: new storeGate.StoreLoadLimiter(store, leadership.sinceMs),
      arrivals: new arrivals.ArrivalRates(),
      backoff: new backoff.Backoff(),
      reservations: new Map(),
    };
  }

  /**
   * Takes an announcement; false if a newer one is known.
   *
   * @param heardMs when a host received it
   */
  recordAnnouncement(
    announcement: protocol.backend.Announcement,
    heardMs: number,
  ): boolean {
    return this.#servers.recordAnnouncement(announcement, heardMs);
  }

  /**
   * Takes a host's word that a server process is dead. Its replicas serve no
   * demand until a host hears it again; its decisions are kept.
   */
  markDown(server: string, incarnation: string, nowMs: number): void {
    this.#servers.markDown(server, incarnation, nowMs);
  }

  /** Takes what one host wants; it replaces the host's earlier report. */
  recordDemand(
    host: string,
    demands: readonly protocol.control.Demand[],
    nowMs: number,
  ): void {
    this.#demand.report(host, demands, nowMs);
    for (const { target, arrivals } of demands) {
      this.#memory.arrivals.recordArrivals(
        types.baseModelOf(target),
        arrivals,
        nowMs,
      );
      if (types.isAdapter(target)) {
        this.#memory.arrivals.recordArrivals(target, arrivals, nowMs);
      }
    }
  }

  /** Drops the report of a host that was lost. */
  removeHost(host: string): void {
    this.#demand.remove(host);
  }

  /** What all hosts want of a target; undefined when they want nothing. */
  demandOf(target: string, nowMs: number): demand.TargetDemand | undefined {
    return this.#demand.of(target, nowMs);
  }

  /** Takes the models that deferred requests want; it replaces earlier ones. */
  setDeferredDemand(needs: readonly demand.TargetDemand[]): void {
    this.#deferred = needs;
  }

  /** The next proposals and orders. */
  plan(facts: types.PlanInput): types.Action[] {
    const { orders } = this.#memory;
    this.#servers.expire(facts.nowMs);
    this.#proposals.retain(facts.replicas);
    orders.retain(facts.replicas, facts.nowMs);
    const seen = new scene.Scene(
      facts,
      this.#servers,
      orders,
      this.#proposals,
      this.#placed,
    );
    this.#scene = seen;
    const needs = this.#needs(facts.nowMs);
    const round = new context.Context(seen, this.#memory, needs);
    const actions = [
      ...upkeep.planForgetting(round),
      ...upkeep.planAdoption(round),
      ...this.#decide(round),
    ];
    const fresh = actions.filter((action) => this.#isNew(action));
    return [...fresh, ...dispatch.planOrders(round)];
  }

  /** The entry of a proposal was applied, or certainly never will be. */
  settleProposal(proposal: proposals.Proposal): void {
    this.#proposals.settle(proposal);
  }

  /**
   * Takes the answer to an order; undefined if it was lost. Where no byte of
   * the order went out, `refused` with the reason `failed` saves the wait for
   * the end of the order.
   */
  recordOrderAnswer(
    sent: types.OrderAction,
    result: protocol.backend.OrderResult | undefined,
    nowMs: number,
  ): void {
    const { order, replica, server } = sent;
    const { backoff } = this.#memory;
    const loaded = this.#memory.orders.end(
      replica,
      order.fence,
      result,
      nowMs,
    );
    if (loaded !== undefined) {
      this.#learn(loaded, nowMs);
      backoff.succeed(server, order.model);
      return;
    }
    const failed = result === undefined || result.kind === "refused" &&
        result.reason !== "stale-fence";
    if (failed && tracks.isLoad(order.kind)) {
      backoff.fail(server, order.model, nowMs);
    }
  }

  /** Models and adapters of a server that may be used, by the last plan. */
  readyModels(server: string): string[] {
    const known = this.#servers.get(server);
    if (known === undefined || this.#scene === undefined) return [];
    return this.#scene.on(known)
      .filter(({ replica, status }) =>
        status.kind === "loaded" && replica.unloadIndex === undefined
      )
      .map(({ replica }) => replica.model);
  }

  /** Models and adapters that are being loaded, by the last plan. */
  loadingModels(server: string): string[] {
    const known = this.#servers.get(server);
    if (known === undefined || this.#scene === undefined) return [];
    return this.#scene.on(known)
      .filter(({ replica, status }) =>
        (status.kind === "pending" || status.kind === "loading") &&
        replica.unloadIndex === undefined
      )
      .map(({ replica }) => replica.model);
  }

  /** The newest announcement of a server; undefined if none was heard. */
  latestAnnouncement(
    server: string,
  ): protocol.backend.Announcement | undefined {
    return this.#servers.get(server)?.announcement;
  }

  /** The servers that were heard, in the order of their ids. */
  servers(): fleet.AnnouncedServer[] {
    return this.#servers.list();
  }

  /** What the fleet can do for a target; undefined before the first plan. */
  capacity(target: string): capacity.Capacity | undefined {
    if (this.#scene === undefined) return undefined;
    return capacity.capacityOf(this.#scene, this.#memory.estimates, target);
  }

  #needs(nowMs: number): demand.TargetDemand[] {
    const byTarget = new Map<string, demand.TargetDemand>();
    for (const need of [...this.#demand.needs(nowMs), ...this.#deferred]) {
      const known = byTarget.get(need.target);
      byTarget.set(need.target, demand.sum(known, need));
    }
    return [...byTarget.values()].sort(demand.byUrgency);
  }

  #decide(round: context.Context): types.Action[] {
    const unloading = upkeep.planUnloading(round);
    const needed = planner.planNeeds(round);
    if (needed.length > 0) return [...unloading, ...needed];
    return [...unloading, ...planner.planPrefetch(round)];
  }

  #isNew(action: types.Action): boolean {
    return action.kind !== "order" && this.#proposals.add(action);
  }

  #learn(loaded: tracks.Outstanding, nowMs: number): void {
    const { estimates, gate } = this.#memory;
    const durationMs = nowMs - loaded.sentMs;
    if (loaded.kind === "load-adapter") {
      estimates.observeAdapterLoad(durationMs);
      return;
    }
    if (loaded.place === "store") {
      gate.recordDuration(durationMs, loaded.expectedMs);
    }
    estimates.observeModelLoad(loaded.place, loaded.bytes, durationMs);
  }
}
