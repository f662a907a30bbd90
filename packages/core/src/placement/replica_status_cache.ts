import type * as state from "../state/mod.ts";
import type * as orderTracker from "./order_tracker.ts";
import * as replicaStatus from "./replica_status.ts";
import type * as announcedServers from "./announced_servers.ts";
import * as types from "./types.ts";

/** A decided replica with its status. */
export interface PlacedReplica {
  readonly replica: state.Replica;
  readonly status: replicaStatus.ReplicaStatus;
  /** Its server; undefined unless the replica's incarnation is current. */
  readonly server: announcedServers.AnnouncedServer | undefined;
}

interface CachedReplica extends PlacedReplica {
  status: replicaStatus.ReplicaStatus;
  server: announcedServers.AnnouncedServer | undefined;
}

/** The replicas of one server incarnation. */
interface IncarnationEntry {
  readonly server: string;
  readonly incarnation: string;
  readonly replicas: CachedReplica[];
  /** The announced server that the statuses were derived from. */
  derivedFrom: announcedServers.AnnouncedServer | undefined;
  /** Until this time only a new announcement can change the statuses. */
  validUntilMs: number;
}

/**
 * Caches the statuses of the decisions between planning rounds. A round derives
 * only the statuses that may have changed: in a large fleet nearly all replicas
 * are loaded and stay loaded.
 */
export class ReplicaStatusCache {
  #replicas: readonly state.Replica[] = [];
  #placed: readonly CachedReplica[] = [];
  #byIncarnation = new Map<string, IncarnationEntry>();
  #byModel = new Map<string, CachedReplica[]>();

  /** All decided replicas, in log order. */
  get placed(): readonly PlacedReplica[] {
    return this.#placed;
  }

  /** Replaces the decisions and derives the statuses that may have changed. */
  update(
    replicas: readonly state.Replica[],
    servers: announcedServers.AnnouncedServers,
    tracker: orderTracker.OrderTracker,
    nowMs: number,
  ): void {
    if (!haveSameReplicas(this.#replicas, replicas)) this.#rebuild(replicas);
    for (const entry of this.#byIncarnation.values()) {
      const server = servers.getIncarnation(entry.server, entry.incarnation);
      const isUnchanged = server !== undefined && server === entry.derivedFrom;
      if (isUnchanged && nowMs <= entry.validUntilMs) continue;
      refresh(entry, server, servers, tracker, nowMs);
    }
  }

  /** Replicas that are decided for one server incarnation. */
  onIncarnation(id: string, incarnation: string): readonly PlacedReplica[] {
    const key = types.incarnationKey({ server: id, incarnation });
    return this.#byIncarnation.get(key)?.replicas ?? [];
  }

  /** Replicas of a model or adapter, in all versions. */
  ofModel(model: string): readonly PlacedReplica[] {
    return this.#byModel.get(model) ?? [];
  }

  #rebuild(replicas: readonly state.Replica[]): void {
    const previous = this.#byIncarnation;
    this.#replicas = replicas;
    this.#byIncarnation = new Map();
    this.#byModel = new Map();
    this.#placed = replicas.map((replica) => {
      const placed: CachedReplica = {
        replica,
        status: { kind: "pending" },
        server: undefined,
      };
      this.#entryFor(replica).replicas.push(placed);
      const ofModel = this.#byModel.get(replica.model);
      if (ofModel === undefined) this.#byModel.set(replica.model, [placed]);
      else ofModel.push(placed);
      return placed;
    });
    for (const [key, entry] of this.#byIncarnation) {
      reuseStatuses(previous.get(key), entry);
    }
  }

  #entryFor(replica: state.Replica): IncarnationEntry {
    const key = types.incarnationKey(replica);
    const known = this.#byIncarnation.get(key);
    if (known !== undefined) return known;
    const { server, incarnation } = replica;
    const entry: IncarnationEntry = {
      server,
      incarnation,
      replicas: [],
      derivedFrom: undefined,
      validUntilMs: Number.NEGATIVE_INFINITY,
    };
    this.#byIncarnation.set(key, entry);
    return entry;
  }
}

/** Whether two lists hold identical replica objects in the same order. */
export function haveSameReplicas(
  previous: readonly state.Replica[],
  current: readonly state.Replica[],
): boolean {
  return previous.length === current.length &&
    previous.every((replica, index) => replica === current[index]);
}

/** Copies the statuses of an incarnation whose decisions have not changed. */
function reuseStatuses(
  previous: IncarnationEntry | undefined,
  entry: IncarnationEntry,
): void {
  if (previous === undefined) return;
  const replicasOf = ({ replicas }: IncarnationEntry) =>
    replicas.map(({ replica }) => replica);
  if (!haveSameReplicas(replicasOf(previous), replicasOf(entry))) return;
  entry.replicas.forEach((placed, index) => {
    placed.status = previous.replicas[index]?.status ?? placed.status;
    placed.server = previous.derivedFrom;
  });
  entry.derivedFrom = previous.derivedFrom;
  entry.validUntilMs = previous.validUntilMs;
}

function refresh(
  entry: IncarnationEntry,
  server: announcedServers.AnnouncedServer | undefined,
  servers: announcedServers.AnnouncedServers,
  tracker: orderTracker.OrderTracker,
  nowMs: number,
): void {
  for (const placed of entry.replicas) {
    placed.server = server;
    placed.status = replicaStatus.deriveStatus(
      placed.replica,
      servers,
      tracker,
      nowMs,
    );
  }
  const areAllStable = entry.replicas.every(isStable);
  entry.derivedFrom = server;
  entry.validUntilMs = server !== undefined && areAllStable
    ? server.lastSeenMs + types.SILENCE_TIMEOUT_MS
    : Number.NEGATIVE_INFINITY;
}

/**
 * Whether only a new announcement or silence can change the status. A settled
 * replica has no outstanding load, and no unload is ordered without a decision.
 */
function isStable({ replica, status }: PlacedReplica): boolean {
  return status.kind === "loaded" && status.settled &&
    replica.unloadIndex === undefined;
}
