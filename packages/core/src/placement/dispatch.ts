import type * as protocol from "@ebonypath/protocol";
import type * as state from "../state/mod.ts";
import type * as context from "./context.ts";
import * as fleet from "./fleet.ts";
import type * as scene from "./scene.ts";
import * as types from "./types.ts";

/** Time within which hosts hear of an unload. */
const UNLOAD_GRACE_MS = 250;
const UNLOAD_TIMEOUT_MS = 10_000;
const ADAPTER_TIMEOUT_MS = 5_000;
const MIN_LOAD_TIMEOUT_MS = 5_000;
/** A load is given up after this many times its expected duration. */
const LOAD_TIMEOUT_FACTOR = 4;

type Order = protocol.backend.Order;

/** Orders what is decided, the most urgent needs first. */
export function planOrders(round: context.Context): types.OrderAction[] {
  const unloads = round.scene.placed
    .filter((placed) => isUnloadDue(round, placed));
  const loads = round.scene.placed
    .filter(isLoadDue)
    .sort((a, b) => urgencyOf(round, a) - urgencyOf(round, b));
  return [
    ...unloads.flatMap((placed) => orderUnload(round, placed) ?? []),
    ...loads.flatMap((placed) => orderLoad(round, placed) ?? []),
  ];
}

function urgencyOf(round: context.Context, { replica }: scene.Placed): number {
  return round.needOf(replica.model)?.deadlineMs ?? Number.MAX_SAFE_INTEGER;
}

/**
 * A decision is ordered by the leader that made it, and once: nobody has to
 * know what a server does with a second load of the same model.
 */
function isLoadDue({ replica, status }: scene.Placed): boolean {
  return status.kind === "pending" && replica.unloadIndex === undefined;
}

function isUnloadDue(
  round: context.Context,
  placed: scene.Placed,
): boolean {
  const { replica, status } = placed;
  if (replica.unloadIndex === undefined) return false;
  if (status.kind !== "loaded" || !status.settled) return false;
  const track = round.memory.orders.track(replica);
  track.unloadSeenMs ??= round.nowMs;
  const waitedMs = round.nowMs - track.unloadSeenMs;
  if (waitedMs < UNLOAD_GRACE_MS || round.nowMs < track.notBeforeMs) {
    return false;
  }
  const server = round.scene.serverOf(replica);
  if (server === undefined || hasAdapters(round, server, replica)) return false;
  return isDrained(round, server, replica, track.unloadSeenMs);
}

function isDrained(
  round: context.Context,
  server: fleet.AnnouncedServer,
  replica: state.Replica,
  sinceMs: number,
): boolean {
  const { runningRequestsOn: runningOn } = round.scene.facts;
  // The demand of a host may be older than a request that it has begun since.
  if (runningOn !== undefined && !isReplaced(round, server, replica)) {
    return runningOn(replica, sinceMs + UNLOAD_GRACE_MS) === 0;
  }
  if ((round.needOf(replica.model)?.running ?? 0) === 0) return true;
  return server.announcement.running === 0 &&
    server.lastSeenMs >= sinceMs + types.MAX_ANNOUNCEMENT_DELAY_MS;
}

/**
 * Whether the server offers another version of the model: hosts don't tell
 * which of the two runs their requests.
 */
function isReplaced(
  round: context.Context,
  server: fleet.AnnouncedServer,
  { index, model }: state.Replica,
): boolean {
  return round.scene.on(server).some(({ replica, status }) =>
    replica.model === model && replica.index !== index &&
    replica.unloadIndex === undefined && status.kind === "loaded"
  );
}

/** Whether adapters of a model are still decided for its server. */
function hasAdapters(
  round: context.Context,
  server: fleet.AnnouncedServer,
  { model }: state.Replica,
): boolean {
  if (types.isAdapter(model)) return false;
  return round.scene.on(server).some(({ replica }) =>
    types.isAdapter(replica.model) && types.baseModelOf(replica.model) === model
  );
}

function orderUnload(
  round: context.Context,
  { replica }: scene.Placed,
): types.OrderAction | undefined {
  const server = round.scene.serverOf(replica);
  const fence = replica.unloadIndex;
  if (server === undefined || fence === undefined) return undefined;
  if (!mayOrder(round, server, replica, fence)) return undefined;
  const kind = types.isAdapter(replica.model) ? "unload-adapter" : "unload";
  const order: Order = {
    kind,
    ...orderFields(replica, fence, UNLOAD_TIMEOUT_MS),
  };
  return send(round, server, replica, order, "memory", UNLOAD_TIMEOUT_MS);
}

function orderLoad(
  round: context.Context,
  { replica }: scene.Placed,
): types.OrderAction | undefined {
  const server = round.scene.serverOf(replica);
  if (server === undefined || !round.scene.usable.includes(server)) {
    return undefined;
  }
  if (!mayOrder(round, server, replica, replica.index)) return undefined;
  return types.isAdapter(replica.model)
    ? orderAdapter(round, server, replica)
    : orderModel(round, server, replica);
}

function orderModel(
  round: context.Context,
  server: fleet.AnnouncedServer,
  replica: state.Replica,
): types.OrderAction | undefined {
  const { model, version, bytes } = replica;
  const place = fleet.placeOf(server, model, version);
  if (place === "store") {
    const { gate } = round.memory;
    if (!gate.admitsModelLoad(outstandingLoads(round, "load"), round.nowMs)) {
      return undefined;
    }
    gate.recordStart(round.nowMs);
  }
  const expectedMs = round.loadMs(server, model, version, bytes);
  const timeoutMs = loadTimeoutMs(expectedMs);
  const fields = orderFields(replica, replica.index, timeoutMs);
  const order: Order = { kind: "load", ...fields, bytes };
  return send(round, server, replica, order, place, expectedMs);
}

function orderAdapter(
  round: context.Context,
  server: fleet.AnnouncedServer,
  replica: state.Replica,
): types.OrderAction | undefined {
  const base = types.baseModelOf(replica.model);
  const isBaseLoaded = round.scene.on(server).some((placed) =>
    placed.replica.model === base && placed.status.kind === "loaded" &&
    placed.replica.unloadIndex === undefined
  );
  if (!isBaseLoaded) return undefined;
  const running = outstandingLoads(round, "load-adapter");
  if (!round.memory.gate.admitsAdapterLoad(running)) return undefined;
  const fields = orderFields(replica, replica.index, ADAPTER_TIMEOUT_MS);
  const { bytes } = replica;
  const order: Order = { kind: "load-adapter", ...fields, bytes };
  const expectedMs = round.memory.estimates.adapterLoadMs();
  return send(round, server, replica, order, "store", expectedMs);
}

function loadTimeoutMs(expectedMs: number): number {
  const timeoutMs = Math.ceil(expectedMs * LOAD_TIMEOUT_FACTOR);
  return Math.min(
    types.MAX_ORDER_EXECUTION_MS,
    Math.max(MIN_LOAD_TIMEOUT_MS, timeoutMs),
  );
}

function orderFields(
  { incarnation, model, version }: state.Replica,
  fence: number,
  timeoutMs: number,
) {
  return { fence, incarnation, timeoutMs, model, version };
}

function send(
  round: context.Context,
  server: fleet.AnnouncedServer,
  replica: state.Replica,
  order: Order,
  place: types.WeightSource,
  expectedMs: number,
): types.OrderAction {
  round.memory.orders.send(replica, {
    kind: order.kind,
    fence: order.fence,
    place,
    bytes: replica.bytes,
    expectedMs,
    sentMs: round.nowMs,
    endsMs: round.nowMs + order.timeoutMs + types.MAX_ORDER_DELIVERY_MS,
    lost: false,
  });
  return {
    kind: "order",
    replica: replica.index,
    server: server.announcement.id,
    address: server.announcement.address,
    order,
  };
}

/** Whether the server can be given another order now. */
function mayOrder(
  round: context.Context,
  server: fleet.AnnouncedServer,
  replica: state.Replica,
  fence: number,
): boolean {
  const { orders } = round.memory;
  if (!fleet.isFresh(server, round.nowMs)) return false;
  if (orders.track(replica).outstanding !== undefined) return false;
  const outstanding =
    round.scene.on(server).filter((placed) =>
      orders.track(placed.replica).outstanding !== undefined
    ).length;
  if (server.announcement.checksFencing) {
    return outstanding < types.MAX_FENCED_ORDERS &&
      !orders.isStaleFence(replica, fence);
  }
  return outstanding < types.MAX_UNFENCED_ORDERS && isQuiet(round, server);
}

/** Whether no order of an earlier leader is under way at a server. */
function isQuiet(
  round: context.Context,
  server: fleet.AnnouncedServer,
): boolean {
  const { orders } = round.memory;
  if (orders.areEarlierOver(round.nowMs)) return true;
  return round.scene.on(server)
    .map(({ replica }) => replica)
    .filter((replica) => orders.isInherited(replica))
    .every((replica) =>
      replica.unloadIndex === undefined &&
      orders.track(replica).proven
    );
}

function outstandingLoads(
  round: context.Context,
  kind: Order["kind"],
): number {
  return round.scene.placed.filter(({ replica, status }) => {
    const { outstanding } = round.memory.orders.track(replica);
    if (outstanding !== undefined) {
      return outstanding.kind === kind && outstanding.place === "store";
    }
    const isModel = !types.isAdapter(replica.model);
    return status.kind === "unknown" && isModel === (kind === "load");
  }).length;
}
