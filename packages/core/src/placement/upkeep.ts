import * as protocol from "@ebonypath/protocol";
import type * as context from "./context.ts";
import * as eviction from "./eviction.ts";
import * as fleet from "./fleet.ts";
import * as idle from "./idle.ts";
import type * as scene from "./scene.ts";
import * as types from "./types.ts";

/** Forgets decisions whose replica is certainly not in memory. */
export function planForgetting(round: context.Context): types.Action[] {
  return round.scene.placed.flatMap((placed) => {
    const reason = forgetReason(round, placed);
    const replica = placed.replica.index;
    return reason === undefined ? [] : [{ kind: "forget", replica, reason }];
  });
}

/** Unloads what is outdated, surplus or not worth its memory. */
export function planUnloading(round: context.Context): types.Action[] {
  return round.scene.placed.flatMap((placed) => {
    const { server } = placed;
    if (server === undefined) return [];
    if (needsNewFence(round, server, placed)) {
      return [unload(placed, "fence")];
    }
    if (!eviction.isUnloadable(round, placed)) return [];
    const reason = unloadReason(round, server, placed);
    if (reason === undefined) return [];
    const actions = eviction.withAdapters(round, server, placed)
      .filter(({ replica }) => !round.scene.isUnloading(replica))
      .map((item) => unload(item, reason));
    for (const action of actions) round.scene.add(action);
    return actions;
  });
}

/** Decides what servers hold without a decision. */
export function planAdoption(round: context.Context): types.Action[] {
  return round.scene.servers()
    .filter((server) => isSettled(round, server))
    .flatMap((server) => adoptionsOn(round, server));
}

function forgetReason(
  round: context.Context,
  { replica, status }: scene.Placed,
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
      return isTooOld(round, replica) ? "refused" : undefined;
    case "loading":
    case "unknown":
    case "loaded":
      return undefined;
    default:
      return protocol.errors.assertNever(status);
  }
}

/** Whether the server would refuse the load, having seen a later order. */
function isTooOld(
  round: context.Context,
  replica: scene.Placed["replica"],
): boolean {
  const server = round.scene.serverOf(replica);
  return server !== undefined && server.announcement.checksFencing &&
    round.memory.orders.isStaleFence(replica, replica.index);
}

function needsNewFence(
  round: context.Context,
  server: fleet.AnnouncedServer,
  { replica, status }: scene.Placed,
): boolean {
  return replica.unloadIndex !== undefined && status.kind === "loaded" &&
    server.announcement.checksFencing &&
    round.memory.orders.track(replica).outstanding === undefined &&
    round.memory.orders.isStaleFence(replica, replica.unloadIndex);
}

function unloadReason(
  round: context.Context,
  server: fleet.AnnouncedServer,
  placed: scene.Placed,
): types.UnloadReason | undefined {
  const { replica } = placed;
  const version = round.scene.versionOf(replica.model);
  if (version === undefined) return "unknown-model";
  const needed = round.needOf(replica.model) !== undefined;
  if (version !== replica.version) {
    const replaced = round.loadedReplicas(replica.model).length > 0;
    return replaced || !needed ? "outdated" : undefined;
  }
  if (isSurplus(round, placed)) return "surplus";
  return needed ? undefined : idleReason(round, server, placed);
}

function idleReason(
  round: context.Context,
  server: fleet.AnnouncedServer,
  { replica }: scene.Placed,
): types.UnloadReason | undefined {
  const { orders, arrivals } = round.memory;
  const settledMs = orders.track(replica).settledMs ?? round.nowMs;
  const sinceMs = Math.max(settledMs, orders.sinceMs);
  const holding = round.holdingOf(server, replica);
  return idle.shouldUnloadIdle(holding, arrivals, sinceMs, round.nowMs)
    ? "idle"
    : undefined;
}

/** Whether enough other replicas of the model are loaded. */
function isSurplus(round: context.Context, placed: scene.Placed): boolean {
  const { model } = placed.replica;
  if (types.isAdapter(model)) return false;
  const most = round.scene.facts.catalogue.model(model)?.model.maxReplicas;
  const loaded = round.loadedReplicas(model);
  if (most === undefined || loaded.length <= most) return false;
  return loaded.indexOf(placed) >= most;
}

function unload(
  { replica }: scene.Placed,
  reason: types.UnloadReason,
): types.Action {
  return { kind: "unload", replica: replica.index, reason };
}

function isSettled(
  round: context.Context,
  server: fleet.AnnouncedServer,
): boolean {
  return server.announcement.kind === "engine" &&
    fleet.isFresh(server, round.nowMs) &&
    server.lastSeenMs >=
      round.memory.orders.sinceMs + types.MAX_ANNOUNCEMENT_DELAY_MS;
}

function adoptionsOn(
  round: context.Context,
  server: fleet.AnnouncedServer,
): types.Action[] {
  const { announcement } = server;
  if (announcement.loaded.length === 0) return [];
  const gone = round.memory.orders.forgottenOn(server);
  const { id, incarnation } = announcement;
  const decided = new Set(
    round.scene.decidedFor(id, incarnation)
      .map(({ model, version }) => types.modelVersionKey(model, version)),
  );
  return announcement.loaded
    .filter(({ model, version }) => {
      const name = types.modelVersionKey(model, version);
      return !decided.has(name) && !gone.has(name);
    })
    .map((item) => {
      const action = adoptionOf(round, announcement, item);
      round.scene.add(action);
      return action;
    });
}

function adoptionOf(
  round: context.Context,
  server: protocol.backend.Announcement,
  item: protocol.backend.LoadedModel,
): types.Action {
  const { model, version, bytes } = item;
  const resolved = round.scene.facts.catalogue.model(model);
  const configured = resolved?.adapter === undefined
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
    kvBytes: Math.max(0, configured - bytes),
  };
}
