import type * as protocol from "@ebonypath/protocol";
import type * as state from "../state/mod.ts";
import * as choice from "./choice.ts";
import type * as context from "./context.ts";
import type * as demand from "./demand.ts";
import type * as fleet from "./fleet.ts";
import * as idle from "./idle.ts";
import * as types from "./types.ts";

/** How long a model keeps memory reserved that others have to leave. */
const RESERVATION_MS = 15_000;

/** Decides replicas for the needs, those with the earliest deadline first. */
export function planNeeds(round: context.Context): types.Action[] {
  expireReservations(round);
  const bases = [...round.baseNeeds.values()];
  const actions = bases.flatMap((need) => planModel(round, need));
  const adapters = round.needs.filter(({ target }) => types.isAdapter(target));
  return [...actions, ...adapters.flatMap((need) => planAdapter(round, need))];
}

/**
 * Loads the model that is likeliest worth it ahead of its next need, when
 * memory is free and nothing else is being loaded.
 */
export function planPrefetch(round: context.Context): types.Action[] {
  if (round.memory.reservations.size > 0 || round.storeLoads() > 0) return [];
  const candidates = round.memory.arrivals.models()
    .flatMap((model) => prefetchOf(round, model) ?? [])
    .sort((a, b) => b.value - a.value);
  return candidates.slice(0, 1).map(({ action }) => action);
}

function planModel(
  round: context.Context,
  need: demand.TargetDemand,
): types.Action[] {
  const resolved = round.scene.facts.catalogue.model(need.target);
  if (resolved === undefined) return [];
  if (isCovered(round, need, resolved.model.maxReplicas)) return [];
  const wanted = wantedModel(need.target, resolved, need.mayEvict);
  return decideOrReserve(round, wanted, round.scene.usable);
}

function planAdapter(
  round: context.Context,
  need: demand.TargetDemand,
): types.Action[] {
  const resolved = round.scene.facts.catalogue.model(need.target);
  if (resolved?.adapter === undefined) return [];
  const holders = holdersOf(round, resolved.base);
  if (isCovered(round, need, holders.length)) return [];
  const wanted = {
    model: need.target,
    version: resolved.adapter.version,
    bytes: resolved.adapter.bytes,
    kvBytes: 0,
    service: resolved.service.name,
    mayEvict: need.mayEvict,
  };
  return decideOrReserve(round, wanted, holders);
}

/** Usable servers that hold a model, or are about to. */
function holdersOf(
  round: context.Context,
  model: string,
): fleet.AnnouncedServer[] {
  const live = round.scene.of(model)
    .filter((placed) => round.scene.isLive(placed))
    .map(({ replica }) => replica.server);
  return round.scene.usable.filter(({ announcement }) =>
    live.includes(announcement.id)
  );
}

/**
 * Whether the replicas that are live, proposed or about to be adopted bear the
 * need. A load beside a replica that waits for its adoption would only make one
 * of them surplus.
 */
function isCovered(
  round: context.Context,
  need: demand.TargetDemand,
  maxReplicas: number,
): boolean {
  const live = round.scene.of(need.target)
    .filter((placed) => round.scene.isLive(placed))
    .map(({ server }) => server);
  const proposed = round.scene.proposed(need.target)
    .map((target) => round.scene.serverOf(target));
  const undecided = round.scene.undecidedHolders(need.target);
  const servers = [...live, ...proposed, ...undecided];
  if (servers.length >= maxReplicas) return true;
  const capacity = servers.reduce((sum, server) => {
    const limit = server?.announcement.concurrency ?? 0;
    return sum + Math.max(1, limit);
  }, 0);
  return need.waiting + need.running <= capacity;
}

function decideOrReserve(
  round: context.Context,
  wanted: choice.Wanted,
  servers: readonly fleet.AnnouncedServer[],
): types.Action[] {
  const { reservations } = round.memory;
  const held = reservations.get(wanted.model);
  const candidates = held === undefined
    ? servers
    : servers.filter(({ announcement }) =>
      announcement.id === held.server &&
      announcement.incarnation === held.incarnation
    );
  const chosen = choice.choose(round, wanted, candidates);
  if (chosen === undefined) {
    reservations.delete(wanted.model);
    return [];
  }
  if (chosen.fits) {
    reservations.delete(wanted.model);
    return propose(round, [decisionOf(wanted, chosen.server.announcement)]);
  }
  reservations.set(wanted.model, {
    model: wanted.model,
    server: chosen.server.announcement.id,
    incarnation: chosen.server.announcement.incarnation,
    bytes: wanted.bytes + wanted.kvBytes,
    untilMs: held?.untilMs ?? round.nowMs + RESERVATION_MS,
  });
  return propose(
    round,
    chosen.evicted.map(({ replica }) => ({
      kind: "unload",
      replica: replica.index,
      reason: "evicted",
    })),
  );
}

/** Counts proposals, so that later ones of the round respect them. */
function propose(
  round: context.Context,
  actions: readonly types.Action[],
): types.Action[] {
  for (const action of actions) round.scene.add(action);
  return [...actions];
}

/** Drops reservations that are over, or that nobody waits for any more. */
function expireReservations(round: context.Context): void {
  for (const [model, { untilMs }] of round.memory.reservations) {
    const wanted = round.needOf(model) !== undefined;
    if (!wanted || round.nowMs >= untilMs) {
      round.memory.reservations.delete(model);
    }
  }
}

function prefetchOf(
  round: context.Context,
  model: string,
): { action: types.Action; value: number } | undefined {
  const resolved = round.scene.facts.catalogue.model(model);
  if (resolved === undefined || resolved.adapter !== undefined) {
    return undefined;
  }
  if (isPresent(round, model, resolved.model.version)) return undefined;
  if (round.needOf(model) !== undefined) return undefined;
  const wanted = wantedModel(model, resolved, false);
  const chosen = choice.choose(round, wanted, round.scene.usable);
  if (chosen === undefined || !chosen.fits) return undefined;
  const holding = round.holdingOf(chosen.server, wanted);
  const { arrivals } = round.memory;
  if (!idle.shouldPrefetch(holding, arrivals, round.nowMs)) return undefined;
  const value = idle.retentionValue(holding, arrivals, round.nowMs);
  return { action: decisionOf(wanted, chosen.server.announcement), value };
}

/** Whether a model is decided or proposed where it stays usable. */
function isPresent(
  round: context.Context,
  model: string,
  version: string,
): boolean {
  if (round.scene.proposed(model).length > 0) return true;
  return round.scene.of(model).some(({ replica }) => {
    if (replica.version !== version) return false;
    const server = round.scene.serverOf(replica);
    return server === undefined || round.scene.takesWork(server);
  });
}

function wantedModel(
  reference: string,
  { model, service }: state.ResolvedModel,
  mayEvict: boolean,
): choice.Wanted {
  return {
    model: reference,
    version: model.version,
    bytes: model.bytes,
    kvBytes: model.kvBytes,
    service: service.name,
    mayEvict,
  };
}

function decisionOf(
  wanted: choice.Wanted,
  server: protocol.backend.Announcement,
): types.Action {
  return {
    kind: "decide",
    server: server.id,
    incarnation: server.incarnation,
    failureDomain: server.failureDomain,
    model: wanted.model,
    version: wanted.version,
    bytes: wanted.bytes,
    kvBytes: wanted.kvBytes,
  };
}
