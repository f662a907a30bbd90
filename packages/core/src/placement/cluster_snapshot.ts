import type * as protocol from "@ebonypath/protocol";
import type * as state from "../state/mod.ts";
import * as memoryAccounting from "./memory_accounting.ts";
import type * as orderTracker from "./order_tracker.ts";
import type * as pendingProposals from "./pending_proposals.ts";
import type * as replicaStatus from "./replica_status.ts";
import type * as replicaStatusCache from "./replica_status_cache.ts";
import * as announcedServers from "./announced_servers.ts";
import * as types from "./types.ts";

export type { PlacedReplica } from "./replica_status_cache.ts";

type PlacedReplica = replicaStatusCache.PlacedReplica;

/** Memory on a server that is reserved for a model while others are evicted. */
export interface Reservation {
  readonly model: string;
  readonly server: string;
  readonly incarnation: string;
  readonly bytes: number;
  readonly untilMs: number;
}

/** Servers, decisions and proposals as one planning round sees them. */
export class ClusterSnapshot {
  readonly input: types.PlanInput;
  readonly placedReplicas: readonly PlacedReplica[];
  /** Servers that may get new replicas. */
  readonly usableServers: readonly announcedServers.AnnouncedServer[];
  readonly #servers: announcedServers.AnnouncedServers;
  readonly #allServers: announcedServers.AnnouncedServer[];
  readonly #statusCache: replicaStatusCache.ReplicaStatusCache;
  readonly #orderTracker: orderTracker.OrderTracker;
  /** Proposed replicas, including those of this round. */
  readonly #proposedReplicas: types.ReplicaSpec[];
  /** Replicas whose unload is proposed, including those of this round. */
  readonly #proposedUnloads: Set<number>;

  constructor(
    input: types.PlanInput,
    servers: announcedServers.AnnouncedServers,
    tracker: orderTracker.OrderTracker,
    pending: pendingProposals.PendingProposals,
    statusCache: replicaStatusCache.ReplicaStatusCache,
  ) {
    this.input = input;
    this.#servers = servers;
    this.#orderTracker = tracker;
    this.#proposedReplicas = pending.proposedReplicas();
    this.#proposedUnloads = pending.proposedUnloads();
    this.#statusCache = statusCache;
    statusCache.update(input.replicas, servers, tracker, input.nowMs);
    this.placedReplicas = statusCache.placed;
    this.#allServers = servers.list();
    this.usableServers = this.#allServers.filter((server) =>
      this.#isUsable(server)
    );
  }

  get nowMs(): number {
    return this.input.nowMs;
  }

  /** All announced servers, sorted by id. */
  servers(): announcedServers.AnnouncedServer[] {
    return this.#allServers;
  }

  /** The server of a replica; undefined unless its incarnation is current. */
  serverFor(
    replica: types.ReplicaSpec | state.Replica,
  ): announcedServers.AnnouncedServer | undefined {
    return this.#servers.getIncarnation(replica.server, replica.incarnation);
  }

  /** Adds a proposal of this round, so that later steps take it into account. */
  addProposal(action: types.Action): void {
    if (action.kind === "unload") this.#proposedUnloads.add(action.replica);
    if (action.kind === "decide" || action.kind === "adopt") {
      this.#proposedReplicas.push(action);
    }
  }

  /** Whether the unload of a replica is decided or proposed. */
  isUnloading(replica: state.Replica): boolean {
    return replica.unloadIndex !== undefined ||
      this.#proposedUnloads.has(replica.index);
  }

  /** Replicas that are decided for the current incarnation of a server. */
  replicasOn(
    server: announcedServers.AnnouncedServer,
  ): readonly PlacedReplica[] {
    const { id, incarnation } = server.announcement;
    return this.#statusCache.onIncarnation(id, incarnation);
  }

  /** Decided replicas of a model or adapter, in all versions. */
  replicasOf(model: string): readonly PlacedReplica[] {
    return this.#statusCache.ofModel(model);
  }

  /** Proposed replicas of a model that are not committed. */
  proposedReplicasOf(model: string): types.ReplicaSpec[] {
    return this.#proposedReplicas.filter((replica) => replica.model === model);
  }

  /** Proposed replicas on a server that are not committed. */
  proposedReplicasOn(
    server: announcedServers.AnnouncedServer,
  ): types.ReplicaSpec[] {
    const { id, incarnation } = server.announcement;
    return this.#proposedReplicas.filter((replica) =>
      replica.server === id && replica.incarnation === incarnation
    );
  }

  /** Memory of a server that is neither decided nor proposed, in bytes. */
  freeBytes(server: announcedServers.AnnouncedServer): number {
    const { memoryBytes } = server.announcement;
    const replicas = this.replicasOn(server).map(({ replica }) => replica);
    const proposed = this.proposedReplicasOn(server);
    const forgotten = this.#orderTracker.recentlyForgottenOn(server);
    const committed = memoryAccounting.committedBytes(
      server,
      replicas,
      proposed,
      forgotten,
    );
    return memoryBytes - committed;
  }

  /** Replicas that are decided or proposed for a server incarnation. */
  decidedOrProposedOn(
    id: string,
    incarnation: string,
  ): (types.ReplicaSpec | state.Replica)[] {
    const proposed = this.#proposedReplicas.filter((replica) =>
      replica.server === id && replica.incarnation === incarnation
    );
    const placed = this.#statusCache.onIncarnation(id, incarnation);
    return [...placed.map(({ replica }) => replica), ...proposed];
  }

  /** Whether a server has a model version loaded, or is going to. */
  holdsOrWillHold(
    server: announcedServers.AnnouncedServer,
    model: string,
    version: string,
  ): boolean {
    return this.#isDecided(server, model, version) ||
      this.#isAnnounced(server, model, version);
  }

  /**
   * Usable servers that have the configured version of a model loaded without
   * a decision. It is adopted as soon as their announcements are certainly
   * newer than the orders of earlier leaders.
   */
  serversAwaitingAdoption(model: string): announcedServers.AnnouncedServer[] {
    const version = this.configuredVersion(model);
    if (version === undefined) return [];
    return this.usableServers.filter((server) =>
      this.#isAnnounced(server, model, version) &&
      !this.#isDecided(server, model, version)
    );
  }

  /** Replicas that are proposed and not committed. */
  proposedReplicas(): readonly types.ReplicaSpec[] {
    return this.#proposedReplicas;
  }

  /** Whether a replica serves requests, or is expected to shortly. */
  isLive(placed: PlacedReplica): boolean {
    const { replica, status, server } = placed;
    if (this.isUnloading(replica) || !isLoadedOrExpected(status)) return false;
    if (server === undefined || !this.acceptsReplicas(server)) return false;
    return this.configuredVersion(replica.model) === replica.version;
  }

  /** The configured version of a model or an adapter. */
  configuredVersion(reference: string): string | undefined {
    const resolved = this.input.catalogue.resolveModel(reference);
    return resolved?.adapter?.version ?? resolved?.model.version;
  }

  /** Whether a server is neither leaving nor in a withdrawn failure domain. */
  acceptsReplicas(server: announcedServers.AnnouncedServer): boolean {
    const { leaving, failureDomain } = server.announcement;
    return !leaving && !this.input.withdrawnFailureDomains.has(failureDomain);
  }

  #isDecided(
    server: announcedServers.AnnouncedServer,
    model: string,
    version: string,
  ): boolean {
    const { id, incarnation } = server.announcement;
    return this.decidedOrProposedOn(id, incarnation).some((item) =>
      item.model === model && item.version === version
    );
  }

  /** Whether a server announces a model version that was not unloaded since. */
  #isAnnounced(
    server: announcedServers.AnnouncedServer,
    model: string,
    version: string,
  ): boolean {
    const key = types.modelVersionKey(model, version);
    return announcedServers.announcesModel(server, model, version) &&
      !this.#orderTracker.recentlyForgottenOn(server).has(key);
  }

  #isUsable(server: announcedServers.AnnouncedServer): boolean {
    return server.announcement.kind === "engine" &&
      this.acceptsReplicas(server) &&
      announcedServers.isFresh(server, this.nowMs);
  }
}

/** Whether a server may run requests and hold models of a service. */
export function servesService(
  announcement: protocol.backend.Announcement,
  service: string,
): boolean {
  return announcement.services.includes(service);
}

/** Whether a replica is loaded or expected to be loaded shortly. */
function isLoadedOrExpected(status: replicaStatus.ReplicaStatus): boolean {
  switch (status.kind) {
    case "pending":
    case "loading":
    case "loaded":
      return true;
    case "unknown":
      return status.loadExpected;
    default:
      return false;
  }
}
