import type * as arrivalRates from "./arrival_rates.ts";
import type * as backoff from "./backoff.ts";
import type * as clusterSnapshot from "./cluster_snapshot.ts";
import * as demand from "./demand.ts";
import type * as loadTimeEstimator from "./load_time_estimator.ts";
import * as memoryAccounting from "./memory_accounting.ts";
import type * as orderTracker from "./order_tracker.ts";
import * as retention from "./retention.ts";
import * as announcedServers from "./announced_servers.ts";
import type * as storeLoadLimiter from "./store_load_limiter.ts";
import * as types from "./types.ts";

/** State that the leader keeps between planning rounds. */
export interface PlannerState {
  readonly orderTracker: orderTracker.OrderTracker;
  readonly loadTimes: loadTimeEstimator.LoadTimeEstimator;
  readonly storeLimiter: storeLoadLimiter.StoreLoadLimiter;
  readonly arrivalRates: arrivalRates.ArrivalRates;
  readonly backoff: backoff.Backoff;
  /** By model. */
  readonly reservations: Map<string, clusterSnapshot.Reservation>;
}

/** Input of the planning steps of one round. */
export class PlanningRound {
  readonly snapshot: clusterSnapshot.ClusterSnapshot;
  readonly plannerState: PlannerState;
  /** Earliest deadline first. */
  readonly demands: readonly demand.TargetDemand[];
  /** Demand for models, including that for their adapters. */
  readonly demandByBaseModel: ReadonlyMap<string, demand.TargetDemand>;
  readonly #demandByTarget: ReadonlyMap<string, demand.TargetDemand>;
  readonly #loadedReplicas = new Map<string, clusterSnapshot.PlacedReplica[]>();

  constructor(
    snapshot: clusterSnapshot.ClusterSnapshot,
    plannerState: PlannerState,
    demands: readonly demand.TargetDemand[],
  ) {
    this.snapshot = snapshot;
    this.plannerState = plannerState;
    this.demands = demands;
    this.demandByBaseModel = demand.aggregateByBaseModel(demands);
    this.#demandByTarget = new Map(demands.map((item) => [item.target, item]));
  }

  get nowMs(): number {
    return this.snapshot.nowMs;
  }

  /** Demand for a model including its adapters, or for one adapter. */
  demandOf(reference: string): demand.TargetDemand | undefined {
    return types.isAdapter(reference)
      ? this.#demandByTarget.get(reference)
      : this.demandByBaseModel.get(reference);
  }

  /** Live replicas of a model that are loaded. */
  loadedReplicas(model: string): readonly clusterSnapshot.PlacedReplica[] {
    const cached = this.#loadedReplicas.get(model);
    if (cached !== undefined) return cached;
    const loaded = this.snapshot.replicasOf(model).filter((placed) =>
      placed.status.kind === "loaded" && this.snapshot.isLive(placed)
    );
    this.#loadedReplicas.set(model, loaded);
    return loaded;
  }

  /** Expected load time on a server, in milliseconds. */
  expectedLoadMs(
    server: announcedServers.AnnouncedServer,
    model: string,
    version: string,
    bytes: number,
  ): number {
    if (types.isAdapter(model)) {
      return this.plannerState.loadTimes.adapterLoadMs();
    }
    const source = announcedServers.weightSourceOf(server, model, version);
    return this.plannerState.loadTimes.modelLoadMs(source, bytes);
  }

  /** Number of model loads from the store that are running or planned. */
  countStoreLoads(): number {
    const placed = this.snapshot.placedReplicas.filter((item) =>
      this.#isStoreLoad(item)
    );
    const proposed = this.snapshot.proposedReplicas().filter((replica) =>
      this.#loadsFromStore(replica)
    );
    return placed.length + proposed.length;
  }

  /**
   * Expected delay of a new load behind the decided and proposed loads of a
   * server, in milliseconds. Loads run in parallel up to the server's limit of
   * outstanding orders.
   */
  pendingLoadMs(server: announcedServers.AnnouncedServer): number {
    let pendingMs = 0;
    for (
      const { model, version, bytes } of this.snapshot.proposedReplicasOn(
        server,
      )
    ) {
      // A model that the server has loaded is adopted, which takes no load.
      if (announcedServers.announcesModel(server, model, version)) continue;
      pendingMs += this.expectedLoadMs(server, model, version, bytes);
    }
    for (const { replica, status } of this.snapshot.replicasOn(server)) {
      if (status.kind !== "pending" && status.kind !== "loading") continue;
      const { model, version, bytes } = replica;
      const loadMs = this.expectedLoadMs(server, model, version, bytes);
      const sentMs = this.plannerState.orderTracker.stateOf(replica)
        .outstanding?.sentMs;
      const elapsedMs = sentMs === undefined ? 0 : this.nowMs - sentMs;
      pendingMs += Math.max(0, loadMs - elapsedMs);
    }
    const maxParallel = server.announcement.checksFencing
      ? types.MAX_FENCED_ORDERS
      : types.MAX_UNFENCED_ORDERS;
    return pendingMs / maxParallel;
  }

  /** The input for the retention value of a replica on a server. */
  retentionCandidate(
    server: announcedServers.AnnouncedServer,
    replica: Pick<
      types.ReplicaSpec,
      "model" | "version" | "bytes" | "kvBytes"
    >,
  ): retention.RetentionCandidate {
    const { model, version, bytes } = replica;
    const memoryBytes = Math.max(1, server.announcement.memoryBytes);
    return {
      model,
      reloadMs: this.expectedLoadMs(server, model, version, bytes),
      memoryShare: memoryAccounting.replicaBytes(replica) / memoryBytes,
    };
  }

  #isStoreLoad({ replica, status }: clusterSnapshot.PlacedReplica): boolean {
    if (types.isAdapter(replica.model)) return false;
    const outstanding = this.plannerState.orderTracker.stateOf(replica)
      .outstanding;
    if (outstanding !== undefined) return outstanding.source === "store";
    if (status.kind !== "pending" && status.kind !== "unknown") return false;
    return this.#loadsFromStore(replica);
  }

  #loadsFromStore(replica: types.ReplicaSpec): boolean {
    if (types.isAdapter(replica.model)) return false;
    const server = this.snapshot.serverFor(replica);
    return server !== undefined &&
      announcedServers.weightSourceOf(
          server,
          replica.model,
          replica.version,
        ) === "store";
  }
}
