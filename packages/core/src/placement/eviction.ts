import type * as clusterSnapshot from "./cluster_snapshot.ts";
import * as memoryAccounting from "./memory_accounting.ts";
import type * as planningRound from "./planning_round.ts";
import * as retention from "./retention.ts";
import type * as announcedServers from "./announced_servers.ts";
import * as types from "./types.ts";

/** A model with its adapters, or an adapter, that may be evicted. */
interface EvictionCandidate {
  readonly replicas: readonly clusterSnapshot.PlacedReplica[];
  readonly bytes: number;
  readonly retentionValue: number;
}

/**
 * Chooses idle replicas of a server that free at least `bytes`, lowest
 * retention value first. Models with waiting or running requests are never
 * chosen. Returns undefined if the others don't free enough.
 */
export function chooseEvictions(
  round: planningRound.PlanningRound,
  server: announcedServers.AnnouncedServer,
  bytes: number,
): clusterSnapshot.PlacedReplica[] | undefined {
  const candidates = candidatesOn(round, server)
    .sort((a, b) => a.retentionValue - b.retentionValue);
  const chosen: EvictionCandidate[] = [];
  let freed = 0;
  for (const candidate of candidates) {
    if (freed >= bytes) break;
    chosen.push(candidate);
    freed += candidate.bytes;
  }
  if (freed < bytes) return undefined;
  return omitUnneeded(chosen, freed - bytes)
    .flatMap(({ replicas }) => replicas);
}

/** Memory of a server that decided or proposed unloads will free, in bytes. */
export function unloadingBytes(
  round: planningRound.PlanningRound,
  server: announcedServers.AnnouncedServer,
): number {
  return round.snapshot.replicasOn(server)
    .filter(({ replica }) => round.snapshot.isUnloading(replica))
    .reduce(
      (sum, { replica }) => sum + memoryAccounting.replicaBytes(replica),
      0,
    );
}

/** Whether a replica is loaded without an outstanding load or an unload. */
export function isUnloadable(
  round: planningRound.PlanningRound,
  { replica, status }: clusterSnapshot.PlacedReplica,
): boolean {
  return status.kind === "loaded" && status.settled &&
    !round.snapshot.isUnloading(replica);
}

/** A replica together with the adapters on its server that need it. */
export function withAdapters(
  round: planningRound.PlanningRound,
  server: announcedServers.AnnouncedServer,
  placed: clusterSnapshot.PlacedReplica,
): clusterSnapshot.PlacedReplica[] {
  const { model } = placed.replica;
  if (types.isAdapter(model)) return [placed];
  const adapters = round.snapshot.replicasOn(server).filter((other) =>
    other !== placed && types.isAdapter(other.replica.model) &&
    types.baseModelOf(other.replica.model) === model
  );
  return [...adapters, placed];
}

function candidatesOn(
  round: planningRound.PlanningRound,
  server: announcedServers.AnnouncedServer,
): EvictionCandidate[] {
  return round.snapshot.replicasOn(server)
    .filter((placed) => isUnloadable(round, placed))
    .filter(({ replica }) => round.demandOf(replica.model) === undefined)
    .filter(({ replica }) => !isBaseOfReservation(round, server, replica.model))
    .map((placed) => candidateOf(round, server, placed));
}

/** Whether memory of the server is reserved for an adapter of the model. */
function isBaseOfReservation(
  round: planningRound.PlanningRound,
  server: announcedServers.AnnouncedServer,
  model: string,
): boolean {
  const { id } = server.announcement;
  return [...round.plannerState.reservations.values()].some((reservation) =>
    reservation.server === id &&
    types.baseModelOf(reservation.model) === model
  );
}

function candidateOf(
  round: planningRound.PlanningRound,
  server: announcedServers.AnnouncedServer,
  placed: clusterSnapshot.PlacedReplica,
): EvictionCandidate {
  const replicas = withAdapters(round, server, placed)
    .filter(({ replica }) => !round.snapshot.isUnloading(replica));
  const bytes = replicas.reduce(
    (sum, { replica }) => sum + memoryAccounting.replicaBytes(replica),
    0,
  );
  return {
    replicas,
    bytes,
    retentionValue: retentionValueOf(round, server, placed),
  };
}

/** Retention value of a replica; outdated versions are evicted first. */
function retentionValueOf(
  round: planningRound.PlanningRound,
  server: announcedServers.AnnouncedServer,
  { replica }: clusterSnapshot.PlacedReplica,
): number {
  if (round.snapshot.configuredVersion(replica.model) !== replica.version) {
    return -1;
  }
  const candidate = round.retentionCandidate(server, replica);
  return retention.retentionValue(
    candidate,
    round.plannerState.arrivalRates,
    round.nowMs,
  );
}

/** Drops candidates that are not needed, highest retention value first. */
function omitUnneeded(
  chosen: readonly EvictionCandidate[],
  excessBytes: number,
): EvictionCandidate[] {
  let excess = excessBytes;
  const needed: EvictionCandidate[] = [];
  for (const candidate of chosen.toReversed()) {
    if (candidate.bytes <= excess) excess -= candidate.bytes;
    else needed.push(candidate);
  }
  return needed.reverse();
}
