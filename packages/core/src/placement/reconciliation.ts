import * as protocol from "@ebonypath/protocol";
import type * as clusterSnapshot from "./cluster_snapshot.ts";
import * as eviction from "./eviction.ts";
import type * as planningRound from "./planning_round.ts";
import * as retention from "./retention.ts";
import * as announcedServers from "./announced_servers.ts";
import * as types from "./types.ts";

/** Proposes to forget decisions whose replica is not loaded any more. */
export function planForgets(
  round: planningRound.PlanningRound,
): types.Action[] {
  return round.snapshot.placedReplicas.flatMap((placed) => {
    const reason = forgetReason(round, placed);
    const replica = placed.replica.index;
    return reason === undefined ? [] : [{ kind: "forget", replica, reason }];
  });
}

/**
 * Proposes unloads of replicas that are outdated, surplus, idle or no longer
 * configured, and repeats decided unloads whose fencing number is stale.
 */
export function planUnloads(
  round: planningRound.PlanningRound,
): types.Action[] {
  return round.snapshot.placedReplicas.flatMap((placed) => {
    const { server } = placed;
    if (server === undefined) return [];
    if (needsNewFence(round, server, placed)) {
      return [unloadAction(placed, "fence")];
    }
    if (!eviction.isUnloadable(round, placed)) return [];
    const reason = unloadReason(round, server, placed);
    if (reason === undefined) return [];
    const actions = eviction.withAdapters(round, server, placed)
      .filter(({ replica }) => !round.snapshot.isUnloading(replica))
      .map((item) => unloadAction(item, reason));
    for (const action of actions) round.snapshot.addProposal(action);
    return actions;
  });
}

/** Proposes decisions for models that servers have loaded without one. */
export function planAdoptions(
  round: planningRound.PlanningRound,
): types.Action[] {
  return round.snapshot.servers()
    .filter((server) => isAdoptable(round, server))
    .flatMap((server) => adoptionsOn(round, server));
}

function forgetReason(
  round: planningRound.PlanningRound,
  { replica, status }: clusterSnapshot.PlacedReplica,
): Extract<types.Action, { kind: "forget" }>["reason"] | undefined {
  switch (status.kind) {
    case "gone":
      return "server-gone";
    case "silent":
      return status.forgettable ? "server-gone" : undefined;
    case "absent":
      return status.reason;
    case "pending":
      if (replica.unloadIndex !== undefined) return "unloaded";
      return isLoadFenceStale(round, replica) ? "refused" : undefined;
    case "loading":
    case "unknown":
    case "loaded":
      return undefined;
    default:
      return protocol.errors.assertNever(status);
  }
}

/** Whether the server would refuse the load because of a later order. */
function isLoadFenceStale(
  round: planningRound.PlanningRound,
  replica: clusterSnapshot.PlacedReplica["replica"],
): boolean {
  const server = round.snapshot.serverFor(replica);
  return server !== undefined && server.announcement.checksFencing &&
    round.plannerState.orderTracker.isStaleFence(replica, replica.index);
}

/**
 * Whether the server would refuse the decided unload as stale. Deciding it
 * again gives it a higher fencing number.
 */
function needsNewFence(
  round: planningRound.PlanningRound,
  server: announcedServers.AnnouncedServer,
  { replica, status }: clusterSnapshot.PlacedReplica,
): boolean {
  return replica.unloadIndex !== undefined && status.kind === "loaded" &&
    server.announcement.checksFencing &&
    round.plannerState.orderTracker.stateOf(replica).outstanding ===
      undefined &&
    round.plannerState.orderTracker.isStaleFence(replica, replica.unloadIndex);
}

function unloadReason(
  round: planningRound.PlanningRound,
  server: announcedServers.AnnouncedServer,
  placed: clusterSnapshot.PlacedReplica,
): types.UnloadReason | undefined {
  const { replica } = placed;
  const version = round.snapshot.configuredVersion(replica.model);
  if (version === undefined) return "unknown-model";
  const needed = round.demandOf(replica.model) !== undefined;
  if (version !== replica.version) {
    const replaced = round.loadedReplicas(replica.model).length > 0;
    return replaced || !needed ? "outdated" : undefined;
  }
  if (isSurplus(round, placed)) return "surplus";
  return needed ? undefined : idleReason(round, server, placed);
}

function idleReason(
  round: planningRound.PlanningRound,
  server: announcedServers.AnnouncedServer,
  { replica }: clusterSnapshot.PlacedReplica,
): types.UnloadReason | undefined {
  const { orderTracker, arrivalRates } = round.plannerState;
  const settledMs = orderTracker.stateOf(replica).loadSettledMs ?? round.nowMs;
  const sinceMs = Math.max(settledMs, orderTracker.sinceMs);
  const candidate = round.retentionCandidate(server, replica);
  return retention.shouldUnloadIdle(
      candidate,
      arrivalRates,
      sinceMs,
      round.nowMs,
    )
    ? "idle"
    : undefined;
}

/** Whether the maximum number of replicas is loaded without this one. */
function isSurplus(
  round: planningRound.PlanningRound,
  placed: clusterSnapshot.PlacedReplica,
): boolean {
  const { model } = placed.replica;
  if (types.isAdapter(model)) return false;
  const maxReplicas = round.snapshot.input.catalogue.resolveModel(model)?.model
    .maxReplicas;
  const loaded = round.loadedReplicas(model);
  if (maxReplicas === undefined || loaded.length <= maxReplicas) return false;
  return loaded.indexOf(placed) >= maxReplicas;
}

function unloadAction(
  { replica }: clusterSnapshot.PlacedReplica,
  reason: types.UnloadReason,
): types.Action {
  return { kind: "unload", replica: replica.index, reason };
}

/**
 * Whether the newest announcement is fresh and certainly newer than the start
 * of this leader's term.
 */
function isAdoptable(
  round: planningRound.PlanningRound,
  server: announcedServers.AnnouncedServer,
): boolean {
  return server.announcement.kind === "engine" &&
    announcedServers.isFresh(server, round.nowMs) &&
    server.lastSeenMs >=
      round.plannerState.orderTracker.sinceMs +
        types.MAX_ANNOUNCEMENT_DELAY_MS;
}

function adoptionsOn(
  round: planningRound.PlanningRound,
  server: announcedServers.AnnouncedServer,
): types.Action[] {
  const { announcement } = server;
  if (announcement.loaded.length === 0) return [];
  const forgotten = round.plannerState.orderTracker.recentlyForgottenOn(server);
  const { id, incarnation } = announcement;
  const decided = new Set(
    round.snapshot.decidedOrProposedOn(id, incarnation)
      .map(({ model, version }) => types.modelVersionKey(model, version)),
  );
  return announcement.loaded
    .filter(({ model, version }) => {
      const key = types.modelVersionKey(model, version);
      return !decided.has(key) && !forgotten.has(key);
    })
    .map((item) => {
      const action = adoptAction(round, announcement, item);
      round.snapshot.addProposal(action);
      return action;
    });
}

function adoptAction(
  round: planningRound.PlanningRound,
  server: protocol.backend.Announcement,
  item: protocol.backend.LoadedModel,
): types.Action {
  const { model, version, bytes } = item;
  const resolved = round.snapshot.input.catalogue.resolveModel(model);
  const configuredBytes = resolved?.adapter === undefined
    ? (resolved?.model.bytes ?? 0) + (resolved?.model.kvBytes ?? 0)
    : resolved.adapter.bytes;
  return {
    kind: "adopt",
    server: server.id,
    incarnation: server.incarnation,
    failureDomain: server.failureDomain,
    model,
    version,
    bytes,
    kvBytes: Math.max(0, configuredBytes - bytes),
  };
}
