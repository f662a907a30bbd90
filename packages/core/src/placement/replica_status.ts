import type * as state from "../state/mod.ts";
import * as orderState from "./order_state.ts";
import * as orderTracker from "./order_tracker.ts";
import * as announcedServers from "./announced_servers.ts";
import * as types from "./types.ts";

/** Time within which a load of an earlier leader is expected to complete. */
const INHERITED_LOAD_MS = 5_000;

/** Status of a committed decision on its server. */
export type ReplicaStatus =
  /** The incarnation has ended and its memory is lost. */
  | { readonly kind: "gone" }
  /** The server does not announce itself, or was reported dead. */
  | { readonly kind: "silent"; readonly forgettable: boolean }
  /** The replica is decided and no load was ordered. */
  | { readonly kind: "pending" }
  /** A load is ordered. */
  | { readonly kind: "loading" }
  /**
   * A load may have taken effect or may still do so. With `loadExpected`, an
   * earlier leader has probably ordered it shortly before its term ended.
   */
  | { readonly kind: "unknown"; readonly loadExpected: boolean }
  /** The replica is loaded. `settled`: no load order is outstanding. */
  | { readonly kind: "loaded"; readonly settled: boolean }
  /** The replica is certainly not loaded, and no order will load it. */
  | {
    readonly kind: "absent";
    readonly reason: "unloaded" | "refused" | "turned-cold";
  };

/**
 * Derives the status of a replica, after updating its order state from the
 * server's newest announcement.
 */
export function deriveStatus(
  replica: state.Replica,
  servers: announcedServers.AnnouncedServers,
  tracker: orderTracker.OrderTracker,
  nowMs: number,
): ReplicaStatus {
  if (servers.hasIncarnationEnded(replica.server, replica.incarnation)) {
    return { kind: "gone" };
  }
  const server = servers.getIncarnation(replica.server, replica.incarnation);
  if (server === undefined) return silentStatus(nowMs - tracker.sinceMs);
  tracker.observeAnnouncement(replica, server, nowMs);
  const orders = tracker.stateOf(replica);
  if (orders.unloadAnswered) return { kind: "absent", reason: "unloaded" };
  const ageMs = nowMs - server.lastSeenMs;
  if (server.isDown || ageMs > types.SILENCE_TIMEOUT_MS) {
    return silentStatus(ageMs);
  }
  if (isAnnounced(replica, server, orders, tracker)) {
    const settled = orders.loadSettledMs !== undefined &&
      nowMs >= orders.loadSettledMs;
    return { kind: "loaded", settled };
  }
  return unannouncedStatus(replica, server, orders, tracker, nowMs);
}

/**
 * Whether the newest announcement lists this replica, and not an earlier
 * replica of the same model version that was unloaded since.
 */
function isAnnounced(
  replica: state.Replica,
  server: announcedServers.AnnouncedServer,
  orders: orderState.ReplicaOrderState,
  tracker: orderTracker.OrderTracker,
): boolean {
  const { model, version } = replica;
  if (!announcedServers.announcesModel(server, model, version)) return false;
  if (orders.loadSent || tracker.isInherited(replica)) return true;
  const key = types.modelVersionKey(model, version);
  return !tracker.recentlyForgottenOn(server).has(key);
}

function silentStatus(silentMs: number): ReplicaStatus {
  return {
    kind: "silent",
    forgettable: silentMs > types.FORGET_SILENT_AFTER_MS,
  };
}

/** Status of a replica that the newest announcement does not list. */
function unannouncedStatus(
  replica: state.Replica,
  server: announcedServers.AnnouncedServer,
  orders: orderState.ReplicaOrderState,
  tracker: orderTracker.OrderTracker,
  nowMs: number,
): ReplicaStatus {
  const outstanding = orders.outstanding;
  if (outstanding !== undefined && orderState.isLoadOrder(outstanding.kind)) {
    if (!outstanding.answerLost) return { kind: "loading" };
    return { kind: "unknown", loadExpected: false };
  }
  if (!orders.loadSent && !tracker.isInherited(replica)) {
    return { kind: "pending" };
  }
  if (isAbsent(server, orders)) {
    return { kind: "absent", reason: absenceReason(replica, orders) };
  }
  if (orders.loadAnswered) return { kind: "loaded", settled: true };
  const leadingMs = nowMs - tracker.sinceMs;
  const loadExpected = !orders.loadSent && leadingMs < INHERITED_LOAD_MS;
  return { kind: "unknown", loadExpected };
}

/** Whether the announcement proves that the replica is not loaded. */
function isAbsent(
  server: announcedServers.AnnouncedServer,
  orders: orderState.ReplicaOrderState,
): boolean {
  if (orders.loadSettledMs === undefined) return false;
  if (orders.loadRefused) return true;
  return server.lastSeenMs >=
    orders.loadSettledMs + types.MAX_ANNOUNCEMENT_DELAY_MS;
}

function absenceReason(
  replica: state.Replica,
  orders: orderState.ReplicaOrderState,
): "unloaded" | "refused" | "turned-cold" {
  if (replica.unloadIndex !== undefined) return "unloaded";
  const wasLoaded = orders.loadAnswered || orders.loadAnnounced;
  return wasLoaded ? "turned-cold" : "refused";
}
