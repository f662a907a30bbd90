import type * as protocol from "@ebonypath/protocol";
import type * as state from "../state/mod.ts";
import type * as demand from "./demand.ts";
import type * as planningRound from "./planning_round.ts";
import * as retention from "./retention.ts";
import type * as announcedServers from "./announced_servers.ts";
import * as serverSelection from "./server_selection.ts";
import * as types from "./types.ts";

/** How long memory stays reserved for a model that waits for evictions. */
const RESERVATION_MS = 15_000;

/** Proposes replicas for the current demand, earliest deadline first. */
export function planForDemand(
  round: planningRound.PlanningRound,
): types.Action[] {
  expireReservations(round);
  const models = [...round.demandByBaseModel.values()];
  const actions = models.flatMap((item) => planModel(round, item));
  const adapters = round.demands.filter(({ target }) =>
    types.isAdapter(target)
  );
  return [...actions, ...adapters.flatMap((item) => planAdapter(round, item))];
}

/**
 * Proposes to load the model with the highest retention value before it is
 * requested, if it fits into free memory. Does nothing while memory is reserved
 * or a load from the store is running or planned.
 */
export function planPrefetch(
  round: planningRound.PlanningRound,
): types.Action[] {
  if (
    round.plannerState.reservations.size > 0 || round.countStoreLoads() > 0
  ) return [];
  const candidates = round.plannerState.arrivalRates.models()
    .flatMap((model) => prefetchCandidate(round, model) ?? [])
    .sort((a, b) => b.value - a.value);
  return candidates.slice(0, 1).map(({ action }) => action);
}

function planModel(
  round: planningRound.PlanningRound,
  modelDemand: demand.TargetDemand,
): types.Action[] {
  const resolved = round.snapshot.input.catalogue.resolveModel(
    modelDemand.target,
  );
  if (resolved === undefined) return [];
  if (hasEnoughReplicas(round, modelDemand, resolved.model.maxReplicas)) {
    return [];
  }
  const request = modelRequest(
    modelDemand.target,
    resolved,
    modelDemand.mayEvict,
  );
  return decideOrReserve(round, request, round.snapshot.usableServers);
}

function planAdapter(
  round: planningRound.PlanningRound,
  adapterDemand: demand.TargetDemand,
): types.Action[] {
  const resolved = round.snapshot.input.catalogue.resolveModel(
    adapterDemand.target,
  );
  if (resolved?.adapter === undefined) return [];
  const servers = serversHolding(round, resolved.base);
  if (hasEnoughReplicas(round, adapterDemand, servers.length)) return [];
  const request = {
    model: adapterDemand.target,
    version: resolved.adapter.version,
    bytes: resolved.adapter.bytes,
    kvBytes: 0,
    service: resolved.service.name,
    mayEvict: adapterDemand.mayEvict,
  };
  return decideOrReserve(round, request, servers);
}

/** Usable servers with a live replica of a model. */
function serversHolding(
  round: planningRound.PlanningRound,
  model: string,
): announcedServers.AnnouncedServer[] {
  const live = round.snapshot.replicasOf(model)
    .filter((placed) => round.snapshot.isLive(placed))
    .map(({ replica }) => replica.server);
  return round.snapshot.usableServers.filter(({ announcement }) =>
    live.includes(announcement.id)
  );
}

/**
 * Whether the live and proposed replicas and those awaiting adoption can run
 * all waiting and running requests, or are as many as allowed. Loading another
 * replica instead of waiting for an adoption would make one of them surplus.
 */
function hasEnoughReplicas(
  round: planningRound.PlanningRound,
  targetDemand: demand.TargetDemand,
  maxReplicas: number,
): boolean {
  const live = round.snapshot.replicasOf(targetDemand.target)
    .filter((placed) => round.snapshot.isLive(placed))
    .map(({ server }) => server);
  const proposed = round.snapshot.proposedReplicasOf(targetDemand.target)
    .map((replica) => round.snapshot.serverFor(replica));
  const awaitingAdoption = round.snapshot.serversAwaitingAdoption(
    targetDemand.target,
  );
  const servers = [...live, ...proposed, ...awaitingAdoption];
  if (servers.length >= maxReplicas) return true;
  const capacity = servers.reduce((sum, server) => {
    const limit = server?.announcement.concurrency ?? 0;
    return sum + Math.max(1, limit);
  }, 0);
  return targetDemand.waiting + targetDemand.running <= capacity;
}

/**
 * Proposes a replica on the selected server if its memory is already free.
 * Otherwise reserves the memory and proposes the evictions that free it.
 */
function decideOrReserve(
  round: planningRound.PlanningRound,
  request: serverSelection.ReplicaRequest,
  servers: readonly announcedServers.AnnouncedServer[],
): types.Action[] {
  const { reservations } = round.plannerState;
  const reservation = reservations.get(request.model);
  const candidates = reservation === undefined
    ? servers
    : servers.filter(({ announcement }) =>
      announcement.id === reservation.server &&
      announcement.incarnation === reservation.incarnation
    );
  const choice = serverSelection.chooseServer(round, request, candidates);
  if (choice === undefined) {
    reservations.delete(request.model);
    return [];
  }
  if (choice.fitsNow) {
    reservations.delete(request.model);
    return addProposals(round, [
      decideAction(request, choice.server.announcement),
    ]);
  }
  reservations.set(request.model, {
    model: request.model,
    server: choice.server.announcement.id,
    incarnation: choice.server.announcement.incarnation,
    bytes: request.bytes + request.kvBytes,
    untilMs: reservation?.untilMs ?? round.nowMs + RESERVATION_MS,
  });
  return addProposals(
    round,
    choice.evicted.map(({ replica }) => ({
      kind: "unload",
      replica: replica.index,
      reason: "evicted",
    })),
  );
}

/** Adds proposals to the snapshot, so that later steps of the round see them. */
function addProposals(
  round: planningRound.PlanningRound,
  actions: readonly types.Action[],
): types.Action[] {
  for (const action of actions) round.snapshot.addProposal(action);
  return [...actions];
}

/** Removes reservations that have expired or whose demand has ended. */
function expireReservations(round: planningRound.PlanningRound): void {
  for (const [model, { untilMs }] of round.plannerState.reservations) {
    const hasDemand = round.demandOf(model) !== undefined;
    if (!hasDemand || round.nowMs >= untilMs) {
      round.plannerState.reservations.delete(model);
    }
  }
}

function prefetchCandidate(
  round: planningRound.PlanningRound,
  model: string,
): { action: types.Action; value: number } | undefined {
  const resolved = round.snapshot.input.catalogue.resolveModel(model);
  if (resolved === undefined || resolved.adapter !== undefined) {
    return undefined;
  }
  if (isDecidedOrProposed(round, model, resolved.model.version)) {
    return undefined;
  }
  if (round.demandOf(model) !== undefined) return undefined;
  const request = modelRequest(model, resolved, false);
  const choice = serverSelection.chooseServer(
    round,
    request,
    round.snapshot.usableServers,
  );
  if (choice === undefined || !choice.fitsNow) return undefined;
  const candidate = round.retentionCandidate(choice.server, request);
  const { arrivalRates } = round.plannerState;
  if (!retention.shouldPrefetch(candidate, arrivalRates, round.nowMs)) {
    return undefined;
  }
  const value = retention.retentionValue(candidate, arrivalRates, round.nowMs);
  return { action: decideAction(request, choice.server.announcement), value };
}

/**
 * Whether a replica is proposed, or decided for a server that is not known to
 * be leaving or withdrawn.
 */
function isDecidedOrProposed(
  round: planningRound.PlanningRound,
  model: string,
  version: string,
): boolean {
  if (round.snapshot.proposedReplicasOf(model).length > 0) return true;
  return round.snapshot.replicasOf(model).some(({ replica }) => {
    if (replica.version !== version) return false;
    const server = round.snapshot.serverFor(replica);
    return server === undefined || round.snapshot.acceptsReplicas(server);
  });
}

function modelRequest(
  reference: string,
  { model, service }: state.ResolvedModel,
  mayEvict: boolean,
): serverSelection.ReplicaRequest {
  return {
    model: reference,
    version: model.version,
    bytes: model.bytes,
    kvBytes: model.kvBytes,
    service: service.name,
    mayEvict,
  };
}

function decideAction(
  request: serverSelection.ReplicaRequest,
  server: protocol.backend.Announcement,
): types.Action {
  return {
    kind: "decide",
    server: server.id,
    incarnation: server.incarnation,
    failureDomain: server.failureDomain,
    model: request.model,
    version: request.version,
    bytes: request.bytes,
    kvBytes: request.kvBytes,
  };
}
