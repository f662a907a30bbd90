import type * as protocol from "@ebonypath/protocol";
import * as arrivalRates from "./arrival_rates.ts";
import * as backoff from "./backoff.ts";
import * as capacity from "./capacity.ts";
import * as clusterSnapshot from "./cluster_snapshot.ts";
import * as demand from "./demand.ts";
import * as loadTimeEstimator from "./load_time_estimator.ts";
import * as orderPlanner from "./order_planner.ts";
import * as orderState from "./order_state.ts";
import * as orderTracker from "./order_tracker.ts";
import * as pendingProposals from "./pending_proposals.ts";
import * as planningRound from "./planning_round.ts";
import * as reconciliation from "./reconciliation.ts";
import * as replicaPlanner from "./replica_planner.ts";
import * as replicaStatusCache from "./replica_status_cache.ts";
import * as announcedServers from "./announced_servers.ts";
import * as storeLoadLimiter from "./store_load_limiter.ts";
import * as types from "./types.ts";

/**
 * Decides, on the leader, which backend server holds which model.
 *
 * It keeps soft state only: a new leader starts with a new instance and the
 * committed decisions. The caller carries out each action of `plan` once. It
 * reports the end of a proposal with `settleProposal` and the answer to an
 * order with `recordOrderAnswer`.
 *
 * @example
 * ```ts
 * const placement = new Placement(bounds);
 * placement.recordAnnouncement(announcement, nowMs);
 * placement.recordDemand("host-1", demands, nowMs);
 * for (const action of placement.plan(input)) carryOut(action);
 * ```
 */
export class Placement {
  readonly #servers = new announcedServers.AnnouncedServers();
  readonly #demand = new demand.DemandAggregator();
  readonly #proposals = new pendingProposals.PendingProposals();
  readonly #statusCache = new replicaStatusCache.ReplicaStatusCache();
  readonly #plannerState: planningRound.PlannerState;
  #deferredDemand: readonly demand.TargetDemand[] = [];
  #snapshot: clusterSnapshot.ClusterSnapshot | undefined;

  constructor(
    bounds: orderTracker.LeadershipBounds,
    storeLimits: storeLoadLimiter.StoreLimits =
      storeLoadLimiter.DEFAULT_STORE_LIMITS,
  ) {
    this.#plannerState = {
      orderTracker: new orderTracker.OrderTracker(bounds),
      loadTimes: new loadTimeEstimator.LoadTimeEstimator(),
      storeLimiter: new storeLoadLimiter.StoreLoadLimiter(
        storeLimits,
        bounds.sinceMs,
      ),
      arrivalRates: new arrivalRates.ArrivalRates(),
      backoff: new backoff.Backoff(),
      reservations: new Map(),
    };
  }

  /**
   * Records an announcement. Returns false if a newer one is known.
   *
   * @param receivedMs when a host received it
   */
  recordAnnouncement(
    announcement: protocol.backend.Announcement,
    receivedMs: number,
  ): boolean {
    return this.#servers.recordAnnouncement(announcement, receivedMs);
  }

  /**
   * Records a host's report that a server process is dead. Its decisions are
   * kept, but its replicas don't count as live until its next announcement.
   */
  markDown(server: string, incarnation: string, nowMs: number): void {
    this.#servers.markDown(server, incarnation, nowMs);
  }

  /** Replaces the demand report of a host. */
  recordDemand(
    host: string,
    demands: readonly protocol.control.Demand[],
    nowMs: number,
  ): void {
    this.#demand.report(host, demands, nowMs);
    for (const { target, arrivals } of demands) {
      this.#plannerState.arrivalRates.recordArrivals(
        types.baseModelOf(target),
        arrivals,
        nowMs,
      );
      if (types.isAdapter(target)) {
        this.#plannerState.arrivalRates.recordArrivals(target, arrivals, nowMs);
      }
    }
  }

  /** Removes the demand report of a lost host. */
  removeHost(host: string): void {
    this.#demand.remove(host);
  }

  /** Demand of all hosts for a target; undefined if there is none. */
  demandOf(target: string, nowMs: number): demand.TargetDemand | undefined {
    return this.#demand.get(target, nowMs);
  }

  /** Replaces the demand of deferred requests. */
  setDeferredDemand(demands: readonly demand.TargetDemand[]): void {
    this.#deferredDemand = demands;
  }

  /** Runs one planning round and returns the new proposals and orders. */
  plan(input: types.PlanInput): types.Action[] {
    const { orderTracker } = this.#plannerState;
    this.#servers.expire(input.nowMs);
    this.#proposals.retain(input.replicas);
    orderTracker.retain(input.replicas, input.nowMs);
    const snapshot = new clusterSnapshot.ClusterSnapshot(
      input,
      this.#servers,
      orderTracker,
      this.#proposals,
      this.#statusCache,
    );
    this.#snapshot = snapshot;
    const demands = this.#demands(input.nowMs);
    const round = new planningRound.PlanningRound(
      snapshot,
      this.#plannerState,
      demands,
    );
    const actions = [
      ...reconciliation.planForgets(round),
      ...reconciliation.planAdoptions(round),
      ...this.#planDecisions(round),
    ];
    const fresh = actions.filter((action) => this.#addIfNew(action));
    return [...fresh, ...orderPlanner.planOrders(round)];
  }

  /** Records that a proposal was applied, or certainly never will be. */
  settleProposal(proposal: pendingProposals.Proposal): void {
    this.#proposals.settle(proposal);
  }

  /**
   * Records the answer to an order.
   *
   * @param result undefined if the answer was lost. If no byte of the order
   *   was sent, pass `refused` with the reason `failed` instead, so that the
   *   order does not stay outstanding until it expires.
   */
  recordOrderAnswer(
    action: types.OrderAction,
    result: protocol.backend.OrderResult | undefined,
    nowMs: number,
  ): void {
    const { order, replica, server } = action;
    const { backoff } = this.#plannerState;
    const completedLoad = this.#plannerState.orderTracker.recordAnswer(
      replica,
      order.fence,
      result,
      nowMs,
    );
    if (completedLoad !== undefined) {
      this.#observeLoad(completedLoad, nowMs);
      backoff.recordSuccess(server, order.model);
      return;
    }
    const failed = result === undefined || result.kind === "refused" &&
        result.reason !== "stale-fence";
    if (failed && orderState.isLoadOrder(order.kind)) {
      backoff.recordFailure(server, order.model, nowMs);
    }
  }

  /** Models and adapters that a server can serve, as of the last plan. */
  readyModels(server: string): string[] {
    const known = this.#servers.get(server);
    if (known === undefined || this.#snapshot === undefined) return [];
    return this.#snapshot.replicasOn(known)
      .filter(({ replica, status }) =>
        status.kind === "loaded" && replica.unloadIndex === undefined
      )
      .map(({ replica }) => replica.model);
  }

  /** Models and adapters that a server is loading, as of the last plan. */
  loadingModels(server: string): string[] {
    const known = this.#servers.get(server);
    if (known === undefined || this.#snapshot === undefined) return [];
    return this.#snapshot.replicasOn(known)
      .filter(({ replica, status }) =>
        (status.kind === "pending" || status.kind === "loading") &&
        replica.unloadIndex === undefined
      )
      .map(({ replica }) => replica.model);
  }

  /** The newest announcement of a server; undefined if there is none. */
  latestAnnouncement(
    server: string,
  ): protocol.backend.Announcement | undefined {
    return this.#servers.get(server)?.announcement;
  }

  /** All announced servers, sorted by id. */
  servers(): announcedServers.AnnouncedServer[] {
    return this.#servers.list();
  }

  /** Current capacity for a target; undefined before the first plan. */
  capacity(target: string): capacity.Capacity | undefined {
    if (this.#snapshot === undefined) return undefined;
    return capacity.capacityOf(
      this.#snapshot,
      this.#plannerState.loadTimes,
      target,
    );
  }

  /** Demand of all hosts and of deferred requests, earliest deadline first. */
  #demands(nowMs: number): demand.TargetDemand[] {
    const byTarget = new Map<string, demand.TargetDemand>();
    for (const item of [...this.#demand.list(nowMs), ...this.#deferredDemand]) {
      const known = byTarget.get(item.target);
      byTarget.set(item.target, demand.addDemand(known, item));
    }
    return [...byTarget.values()].sort(demand.compareByDeadline);
  }

  #planDecisions(round: planningRound.PlanningRound): types.Action[] {
    const unloads = reconciliation.planUnloads(round);
    const forDemand = replicaPlanner.planForDemand(round);
    if (forDemand.length > 0) return [...unloads, ...forDemand];
    return [...unloads, ...replicaPlanner.planPrefetch(round)];
  }

  /** Adds a proposal; false if it is already pending. */
  #addIfNew(action: types.Action): boolean {
    return action.kind !== "order" && this.#proposals.add(action);
  }

  /** Updates the load time estimates with a completed load. */
  #observeLoad(load: orderState.OutstandingOrder, nowMs: number): void {
    const { loadTimes, storeLimiter } = this.#plannerState;
    const durationMs = nowMs - load.sentMs;
    if (load.kind === "load-adapter") {
      loadTimes.observeAdapterLoad(durationMs);
      return;
    }
    if (load.source === "store") {
      storeLimiter.recordDuration(durationMs, load.expectedMs);
    }
    loadTimes.observeModelLoad(load.source, load.bytes, durationMs);
  }
}
