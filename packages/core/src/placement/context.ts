import type * as arrivals from "./arrivals.ts";
import type * as backoff from "./backoff.ts";
import * as demand from "./demand.ts";
import type * as estimates from "./estimates.ts";
import * as fleet from "./fleet.ts";
import * as idle from "./idle.ts";
import * as ledger from "./ledger.ts";
import type * as orders from "./orders.ts";
import type * as scene from "./scene.ts";
import type * as storeGate from "./store_gate.ts";
import * as types from "./types.ts";

/** What the leader keeps between rounds of planning. */
export interface Memory {
  readonly orders: orders.Orders;
  readonly estimates: estimates.LoadTimeEstimator;
  readonly gate: storeGate.StoreLoadLimiter;
  readonly arrivals: arrivals.ArrivalRates;
  readonly backoff: backoff.Backoff;
  /** By model. */
  readonly reservations: Map<string, scene.Reservation>;
}

/** One round of planning: the scene, the needs, and what was learned. */
export class Context {
  readonly scene: scene.Scene;
  readonly memory: Memory;
  /** The earliest deadline first. */
  readonly needs: readonly demand.TargetDemand[];
  /** Needs of models together with their adapters. */
  readonly baseNeeds: ReadonlyMap<string, demand.TargetDemand>;
  readonly #needs: ReadonlyMap<string, demand.TargetDemand>;
  readonly #loaded = new Map<string, scene.Placed[]>();

  constructor(
    seen: scene.Scene,
    memory: Memory,
    needs: readonly demand.TargetDemand[],
  ) {
    this.scene = seen;
    this.memory = memory;
    this.needs = needs;
    this.baseNeeds = demand.baseNeeds(needs);
    this.#needs = new Map(needs.map((need) => [need.target, need]));
  }

  get nowMs(): number {
    return this.scene.nowMs;
  }

  /** The need of a model with its adapters, or of one adapter. */
  needOf(reference: string): demand.TargetDemand | undefined {
    return types.isAdapter(reference)
      ? this.#needs.get(reference)
      : this.baseNeeds.get(reference);
  }

  /** Replicas of a model that are in memory and serve demand. */
  loadedReplicas(model: string): readonly scene.Placed[] {
    const known = this.#loaded.get(model);
    if (known !== undefined) return known;
    const loaded = this.scene.of(model).filter((placed) =>
      placed.status.kind === "loaded" && this.scene.isLive(placed)
    );
    this.#loaded.set(model, loaded);
    return loaded;
  }

  /** Expected load time on a server, in milliseconds. */
  loadMs(
    server: fleet.AnnouncedServer,
    model: string,
    version: string,
    bytes: number,
  ): number {
    if (types.isAdapter(model)) return this.memory.estimates.adapterLoadMs();
    const place = fleet.placeOf(server, model, version);
    return this.memory.estimates.modelLoadMs(place, bytes);
  }

  /** Loads from the store that run or will run. */
  storeLoads(): number {
    const placed = this.scene.placed.filter((item) => this.#isStoreLoad(item));
    const proposed = this.scene.targets().filter((target) =>
      this.#comesFromStore(target)
    );
    return placed.length + proposed.length;
  }

  /**
   * Expected time by which the loads of a server, decided or proposed, hold up
   * another one, in milliseconds: loads run beside each other as far as orders
   * do.
   */
  busyMs(server: fleet.AnnouncedServer): number {
    let busyMs = 0;
    for (const { model, version, bytes } of this.scene.proposedOn(server)) {
      // What the server holds already is adopted, not loaded.
      if (fleet.lists(server, model, version)) continue;
      busyMs += this.loadMs(server, model, version, bytes);
    }
    for (const { replica, status } of this.scene.on(server)) {
      if (status.kind !== "pending" && status.kind !== "loading") continue;
      const { model, version, bytes } = replica;
      const loadMs = this.loadMs(server, model, version, bytes);
      const sentMs = this.memory.orders.track(replica).outstanding?.sentMs;
      const passedMs = sentMs === undefined ? 0 : this.nowMs - sentMs;
      busyMs += Math.max(0, loadMs - passedMs);
    }
    const together = server.announcement.checksFencing
      ? types.MAX_FENCED_ORDERS
      : types.MAX_UNFENCED_ORDERS;
    return busyMs / together;
  }

  /** What keeping a replica depends on. */
  holdingOf(
    server: fleet.AnnouncedServer,
    target: Pick<types.ReplicaSpec, "model" | "version" | "bytes" | "kvBytes">,
  ): idle.RetentionCandidate {
    const { model, version, bytes } = target;
    const memoryBytes = Math.max(1, server.announcement.memoryBytes);
    return {
      model,
      reloadMs: this.loadMs(server, model, version, bytes),
      memoryShare: ledger.sizeOf(target) / memoryBytes,
    };
  }

  #isStoreLoad({ replica, status }: scene.Placed): boolean {
    if (types.isAdapter(replica.model)) return false;
    const known = this.memory.orders.track(replica).outstanding;
    if (known !== undefined) return known.place === "store";
    if (status.kind !== "pending" && status.kind !== "unknown") return false;
    return this.#comesFromStore(replica);
  }

  #comesFromStore(target: types.ReplicaSpec): boolean {
    if (types.isAdapter(target.model)) return false;
    const server = this.scene.serverOf(target);
    return server !== undefined &&
      fleet.placeOf(server, target.model, target.version) === "store";
  }
}
