import type * as protocol from "@ebonypath/protocol";
import type * as state from "../state/mod.ts";
import type * as clusterSnapshot from "./cluster_snapshot.ts";
import type * as planningRound from "./planning_round.ts";
import * as announcedServers from "./announced_servers.ts";
import * as types from "./types.ts";

/** Time within which all hosts learn of a decided unload, in milliseconds. */
const UNLOAD_NOTICE_MS = 250;
const UNLOAD_TIMEOUT_MS = 10_000;
const ADAPTER_TIMEOUT_MS = 5_000;
const MIN_LOAD_TIMEOUT_MS = 5_000;
/** Timeout of a load as a multiple of its expected duration. */
const LOAD_TIMEOUT_FACTOR = 4;

type Order = protocol.backend.Order;

/** Plans the orders for committed decisions, loads by earliest deadline. */
export function planOrders(
  round: planningRound.PlanningRound,
): types.OrderAction[] {
  const unloads = round.snapshot.placedReplicas
    .filter((placed) => isUnloadDue(round, placed));
  const loads = round.snapshot.placedReplicas
    .filter(isLoadDue)
    .sort((a, b) => deadlineOf(round, a) - deadlineOf(round, b));
  return [
    ...unloads.flatMap((placed) => orderUnload(round, placed) ?? []),
    ...loads.flatMap((placed) => orderLoad(round, placed) ?? []),
  ];
}

function deadlineOf(
  round: planningRound.PlanningRound,
  { replica }: clusterSnapshot.PlacedReplica,
): number {
  return round.demandOf(replica.model)?.deadlineMs ?? Number.MAX_SAFE_INTEGER;
}

/**
 * A load is ordered only once, by the leader that made the decision. So nothing
 * depends on how a server handles a second load of the same model.
 */
function isLoadDue(
  { replica, status }: clusterSnapshot.PlacedReplica,
): boolean {
  return status.kind === "pending" && replica.unloadIndex === undefined;
}

function isUnloadDue(
  round: planningRound.PlanningRound,
  placed: clusterSnapshot.PlacedReplica,
): boolean {
  const { replica, status } = placed;
  if (replica.unloadIndex === undefined) return false;
  if (status.kind !== "loaded" || !status.settled) return false;
  const orders = round.plannerState.orderTracker.stateOf(replica);
  orders.unloadFirstSeenMs ??= round.nowMs;
  const waitedMs = round.nowMs - orders.unloadFirstSeenMs;
  if (waitedMs < UNLOAD_NOTICE_MS || round.nowMs < orders.retryNotBeforeMs) {
    return false;
  }
  const server = round.snapshot.serverFor(replica);
  if (server === undefined || hasAdapters(round, server, replica)) return false;
  return hasDrained(round, server, replica, orders.unloadFirstSeenMs);
}

/** Whether no host runs a request on the replica any more. */
function hasDrained(
  round: planningRound.PlanningRound,
  server: announcedServers.AnnouncedServer,
  replica: state.Replica,
  sinceMs: number,
): boolean {
  const { runningRequestsOn } = round.snapshot.input;
  // Demand reports may be older than a request that a host has started since.
  if (
    runningRequestsOn !== undefined &&
    !servesOtherVersion(round, server, replica)
  ) {
    return runningRequestsOn(replica, sinceMs + UNLOAD_NOTICE_MS) === 0;
  }
  if ((round.demandOf(replica.model)?.running ?? 0) === 0) return true;
  return server.announcement.running === 0 &&
    server.lastSeenMs >= sinceMs + types.MAX_ANNOUNCEMENT_DELAY_MS;
}

/**
 * Whether the server also serves another version of the model. Hosts do not
 * report which of the versions runs a request.
 */
function servesOtherVersion(
  round: planningRound.PlanningRound,
  server: announcedServers.AnnouncedServer,
  { index, model }: state.Replica,
): boolean {
  return round.snapshot.replicasOn(server).some(({ replica, status }) =>
    replica.model === model && replica.index !== index &&
    replica.unloadIndex === undefined && status.kind === "loaded"
  );
}

/** Whether adapters of the model are still decided for the server. */
function hasAdapters(
  round: planningRound.PlanningRound,
  server: announcedServers.AnnouncedServer,
  { model }: state.Replica,
): boolean {
  if (types.isAdapter(model)) return false;
  return round.snapshot.replicasOn(server).some(({ replica }) =>
    types.isAdapter(replica.model) && types.baseModelOf(replica.model) === model
  );
}

function orderUnload(
  round: planningRound.PlanningRound,
  { replica }: clusterSnapshot.PlacedReplica,
): types.OrderAction | undefined {
  const server = round.snapshot.serverFor(replica);
  const fence = replica.unloadIndex;
  if (server === undefined || fence === undefined) return undefined;
  if (!canSendOrder(round, server, replica, fence)) return undefined;
  const kind = types.isAdapter(replica.model) ? "unload-adapter" : "unload";
  const order: Order = {
    kind,
    ...orderFields(replica, fence, UNLOAD_TIMEOUT_MS),
  };
  return createOrder(
    round,
    server,
    replica,
    order,
    "memory",
    UNLOAD_TIMEOUT_MS,
  );
}

function orderLoad(
  round: planningRound.PlanningRound,
  { replica }: clusterSnapshot.PlacedReplica,
): types.OrderAction | undefined {
  const server = round.snapshot.serverFor(replica);
  if (
    server === undefined || !round.snapshot.usableServers.includes(server)
  ) {
    return undefined;
  }
  if (!canSendOrder(round, server, replica, replica.index)) return undefined;
  return types.isAdapter(replica.model)
    ? orderAdapterLoad(round, server, replica)
    : orderModelLoad(round, server, replica);
}

function orderModelLoad(
  round: planningRound.PlanningRound,
  server: announcedServers.AnnouncedServer,
  replica: state.Replica,
): types.OrderAction | undefined {
  const { model, version, bytes } = replica;
  const source = announcedServers.weightSourceOf(server, model, version);
  if (source === "store") {
    const { storeLimiter } = round.plannerState;
    if (
      !storeLimiter.admitsModelLoad(
        countOutstandingLoads(round, "load"),
        round.nowMs,
      )
    ) return undefined;
    storeLimiter.recordStart(round.nowMs);
  }
  const expectedMs = round.expectedLoadMs(server, model, version, bytes);
  const timeoutMs = loadTimeoutMs(expectedMs);
  const fields = orderFields(replica, replica.index, timeoutMs);
  const order: Order = { kind: "load", ...fields, bytes };
  return createOrder(round, server, replica, order, source, expectedMs);
}

function orderAdapterLoad(
  round: planningRound.PlanningRound,
  server: announcedServers.AnnouncedServer,
  replica: state.Replica,
): types.OrderAction | undefined {
  const base = types.baseModelOf(replica.model);
  const isBaseLoaded = round.snapshot.replicasOn(server).some((placed) =>
    placed.replica.model === base && placed.status.kind === "loaded" &&
    placed.replica.unloadIndex === undefined
  );
  if (!isBaseLoaded) return undefined;
  const running = countOutstandingLoads(round, "load-adapter");
  if (!round.plannerState.storeLimiter.admitsAdapterLoad(running)) {
    return undefined;
  }
  const fields = orderFields(replica, replica.index, ADAPTER_TIMEOUT_MS);
  const { bytes } = replica;
  const order: Order = { kind: "load-adapter", ...fields, bytes };
  const expectedMs = round.plannerState.loadTimes.adapterLoadMs();
  return createOrder(round, server, replica, order, "store", expectedMs);
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

/** Records an order as sent and returns the action that sends it. */
function createOrder(
  round: planningRound.PlanningRound,
  server: announcedServers.AnnouncedServer,
  replica: state.Replica,
  order: Order,
  source: types.WeightSource,
  expectedMs: number,
): types.OrderAction {
  round.plannerState.orderTracker.recordSent(replica, {
    kind: order.kind,
    fence: order.fence,
    source,
    bytes: replica.bytes,
    expectedMs,
    sentMs: round.nowMs,
    expiresMs: round.nowMs + order.timeoutMs + types.MAX_ORDER_DELIVERY_MS,
    answerLost: false,
  });
  return {
    kind: "order",
    replica: replica.index,
    server: server.announcement.id,
    address: server.announcement.address,
    order,
  };
}

/** Whether the server can be sent an order for the replica now. */
function canSendOrder(
  round: planningRound.PlanningRound,
  server: announcedServers.AnnouncedServer,
  replica: state.Replica,
  fence: number,
): boolean {
  const { orderTracker } = round.plannerState;
  if (!announcedServers.isFresh(server, round.nowMs)) return false;
  if (orderTracker.stateOf(replica).outstanding !== undefined) return false;
  const outstanding =
    round.snapshot.replicasOn(server).filter((placed) =>
      orderTracker.stateOf(placed.replica).outstanding !== undefined
    ).length;
  if (server.announcement.checksFencing) {
    return outstanding < types.MAX_FENCED_ORDERS &&
      !orderTracker.isStaleFence(replica, fence);
  }
  return outstanding < types.MAX_UNFENCED_ORDERS &&
    hasNoEarlierOrders(round, server);
}

/** Whether no order of an earlier leader can be outstanding at the server. */
function hasNoEarlierOrders(
  round: planningRound.PlanningRound,
  server: announcedServers.AnnouncedServer,
): boolean {
  const { orderTracker } = round.plannerState;
  if (orderTracker.haveEarlierOrdersEnded(round.nowMs)) return true;
  return round.snapshot.replicasOn(server)
    .map(({ replica }) => replica)
    .filter((replica) => orderTracker.isInherited(replica))
    .every((replica) =>
      replica.unloadIndex === undefined &&
      orderTracker.stateOf(replica).loadAnnounced
    );
}

/**
 * Counts the loads from the store that may be running: the outstanding ones and
 * those of unknown outcome.
 */
function countOutstandingLoads(
  round: planningRound.PlanningRound,
  kind: Order["kind"],
): number {
  return round.snapshot.placedReplicas.filter(({ replica, status }) => {
    const { outstanding } = round.plannerState.orderTracker.stateOf(replica);
    if (outstanding !== undefined) {
      return outstanding.kind === kind && outstanding.source === "store";
    }
    const isModel = !types.isAdapter(replica.model);
    return status.kind === "unknown" && isModel === (kind === "load");
  }).length;
}
