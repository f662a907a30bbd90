import * as clusterSnapshot from "./cluster_snapshot.ts";
import * as eviction from "./eviction.ts";
import type * as planningRound from "./planning_round.ts";
import * as announcedServers from "./announced_servers.ts";

/** Time that an eviction adds to a load, in milliseconds. */
const EVICTION_COST_MS = 500;
/** Expected wait at a server whose concurrency limit is reached. */
const FULL_QUEUE_WAIT_MS = 1_000;

/** A replica for which a server has to be selected. */
export interface ReplicaRequest {
  readonly model: string;
  readonly version: string;
  readonly bytes: number;
  readonly kvBytes: number;
  readonly service: string;
  readonly mayEvict: boolean;
}

/** A server for a replica, with the replicas to evict from it first. */
export interface ServerChoice {
  readonly server: announcedServers.AnnouncedServer;
  readonly evicted: readonly clusterSnapshot.PlacedReplica[];
  /** Whether the memory is already free. */
  readonly fitsNow: boolean;
  /** Expected time to the first token, in milliseconds. */
  readonly firstTokenMs: number;
}

/**
 * Selects the server with the shortest expected time to the first token: load
 * time from the weight source, wait for the store and for earlier loads, and
 * the server's queue. Servers in failure domains without a replica of the model
 * take precedence.
 */
export function chooseServer(
  round: planningRound.PlanningRound,
  request: ReplicaRequest,
  candidates: readonly announcedServers.AnnouncedServer[],
): ServerChoice | undefined {
  const domains = failureDomainsOf(round, request.model);
  const rank = (choice: ServerChoice) =>
    domains.has(choice.server.announcement.failureDomain) ? 1 : 0;
  return candidates
    .filter((server) => isCandidate(round, request, server))
    .flatMap((server) => evaluateServer(round, request, server) ?? [])
    .sort((a, b) => rank(a) - rank(b) || a.firstTokenMs - b.firstTokenMs)[0];
}

/** Free memory of a server without reservations for other models, in bytes. */
export function availableBytes(
  round: planningRound.PlanningRound,
  server: announcedServers.AnnouncedServer,
  model: string,
): number {
  const { id, incarnation } = server.announcement;
  const reserved = [...round.plannerState.reservations.values()]
    .filter((item) =>
      item.model !== model && item.server === id &&
      item.incarnation === incarnation
    )
    .reduce((sum, item) => sum + item.bytes, 0);
  return round.snapshot.freeBytes(server) - reserved;
}

/** Failure domains with a live or proposed replica of a model. */
function failureDomainsOf(
  round: planningRound.PlanningRound,
  model: string,
): Set<string> {
  const live = round.snapshot.replicasOf(model)
    .filter((placed) => round.snapshot.isLive(placed))
    .map(({ replica }) => replica.failureDomain);
  const proposed = round.snapshot.proposedReplicasOf(model)
    .map(({ failureDomain }) => failureDomain);
  return new Set([...live, ...proposed]);
}

function isCandidate(
  round: planningRound.PlanningRound,
  request: ReplicaRequest,
  server: announcedServers.AnnouncedServer,
): boolean {
  const { announcement } = server;
  return clusterSnapshot.servesService(announcement, request.service) &&
    !round.snapshot.holdsOrWillHold(server, request.model, request.version) &&
    !round.plannerState.backoff.isBackingOff(
      announcement.id,
      request.model,
      round.nowMs,
    );
}

/** Returns undefined if the replica does not fit, even with evictions. */
function evaluateServer(
  round: planningRound.PlanningRound,
  request: ReplicaRequest,
  server: announcedServers.AnnouncedServer,
): ServerChoice | undefined {
  const size = request.bytes + request.kvBytes;
  const missing = size - availableBytes(round, server, request.model);
  const firstTokenMs = expectedFirstTokenMs(round, request, server);
  if (missing <= 0) return { server, evicted: [], fitsNow: true, firstTokenMs };
  const bytesToEvict = missing - eviction.unloadingBytes(round, server);
  const later = {
    server,
    fitsNow: false,
    firstTokenMs: firstTokenMs + EVICTION_COST_MS,
  };
  if (bytesToEvict <= 0) return { ...later, evicted: [] };
  if (!request.mayEvict) return undefined;
  const evicted = eviction.chooseEvictions(round, server, bytesToEvict);
  return evicted === undefined ? undefined : { ...later, evicted };
}

function expectedFirstTokenMs(
  round: planningRound.PlanningRound,
  request: ReplicaRequest,
  server: announcedServers.AnnouncedServer,
): number {
  const { model, version, bytes } = request;
  const loadMs = round.expectedLoadMs(server, model, version, bytes);
  const isFromStore =
    announcedServers.weightSourceOf(server, model, version) === "store";
  const storeMs = isFromStore
    ? round.plannerState.storeLimiter.expectedWaitMs(
      round.countStoreLoads(),
      loadMs,
      round.nowMs,
    )
    : 0;
  const { running, queued, concurrency } = server.announcement;
  const queueMs = FULL_QUEUE_WAIT_MS * (running + queued) /
    Math.max(1, concurrency);
  return loadMs + storeMs + round.pendingLoadMs(server) + queueMs;
}
