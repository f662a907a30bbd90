import type * as protocol from "@ebonypath/protocol";
import type * as state from "../state/mod.ts";
import * as types from "./types.ts";

/** Delay before a failed unload is retried, in milliseconds. */
const UNLOAD_RETRY_MS = 1_000;

/** An order whose result is not known yet. */
export interface OutstandingOrder {
  readonly kind: protocol.backend.Order["kind"];
  readonly fence: number;
  readonly source: types.WeightSource;
  readonly bytes: number;
  readonly expectedMs: number;
  readonly sentMs: number;
  /** The server has stopped executing the order by this time. */
  readonly expiresMs: number;
  readonly answerLost: boolean;
}

/** Orders for one replica: what was sent, and which results are known. */
export interface ReplicaOrderState {
  readonly replica: state.Replica;
  /** Set while an order may still take effect. */
  outstanding: OutstandingOrder | undefined;
  /** Whether this leader has sent the load order. */
  loadSent: boolean;
  /**
   * Time from which new announcements reflect every load order for the replica.
   * Undefined while a load may still take effect at an unknown time.
   */
  loadSettledMs: number | undefined;
  /** Whether the server has answered that the load is complete. */
  loadAnswered: boolean;
  /** Whether the server has refused the load. */
  loadRefused: boolean;
  /** Whether the server has answered that the replica is not loaded. */
  unloadAnswered: boolean;
  /** Whether an announcement has shown the effect of the load order. */
  loadAnnounced: boolean;
  /** When this leader first saw the decision to unload. */
  unloadFirstSeenMs: number | undefined;
  /** Earliest time for the next unload order. */
  retryNotBeforeMs: number;
  /** Fencing number of the last unload that was refused as stale. */
  refusedFence: number;
}

/** Creates the state of a replica for which no order was sent. */
export function createOrderState(
  replica: state.Replica,
  loadSettledMs: number,
): ReplicaOrderState {
  return {
    replica,
    outstanding: undefined,
    loadSent: false,
    loadSettledMs,
    loadAnswered: false,
    loadRefused: false,
    unloadAnswered: false,
    loadAnnounced: false,
    unloadFirstSeenMs: undefined,
    retryNotBeforeMs: 0,
    refusedFence: 0,
  };
}

/** Whether the order loads a model or an adapter. */
export function isLoadOrder(kind: protocol.backend.Order["kind"]): boolean {
  return kind === "load" || kind === "load-adapter";
}

/** The outstanding load order, if there is one. */
export function outstandingLoad(
  orderState: ReplicaOrderState,
): OutstandingOrder | undefined {
  const { outstanding } = orderState;
  return outstanding !== undefined && isLoadOrder(outstanding.kind)
    ? outstanding
    : undefined;
}

/** Records an order just before it is sent. */
export function recordSentOrder(
  orderState: ReplicaOrderState,
  outstanding: OutstandingOrder,
): void {
  orderState.outstanding = outstanding;
  if (!isLoadOrder(outstanding.kind)) return;
  orderState.loadSent = true;
  orderState.loadSettledMs = undefined;
}

/** Removes the outstanding order once it can no longer take effect. */
export function expireOrder(
  orderState: ReplicaOrderState,
  nowMs: number,
): void {
  const { outstanding } = orderState;
  if (outstanding === undefined || nowMs < outstanding.expiresMs) return;
  orderState.outstanding = undefined;
  if (isLoadOrder(outstanding.kind)) {
    orderState.loadSettledMs = outstanding.expiresMs;
  } else {
    orderState.retryNotBeforeMs = outstanding.expiresMs +
      types.MAX_ANNOUNCEMENT_DELAY_MS;
  }
}

export function recordLoadAnswer(
  orderState: ReplicaOrderState,
  result: protocol.backend.OrderResult,
  nowMs: number,
): void {
  orderState.outstanding = undefined;
  orderState.loadSettledMs = nowMs;
  if (result.kind === "done") orderState.loadAnswered = true;
  else orderState.loadRefused = true;
}

export function recordUnloadAnswer(
  orderState: ReplicaOrderState,
  fence: number,
  result: protocol.backend.OrderResult,
  nowMs: number,
): void {
  orderState.outstanding = undefined;
  if (result.kind === "done" || result.reason === "not-loaded") {
    orderState.unloadAnswered = true;
  } else if (result.reason === "stale-fence") {
    orderState.refusedFence = fence;
  } else {
    orderState.retryNotBeforeMs = nowMs + UNLOAD_RETRY_MS;
  }
}

/**
 * Records that an announcement shows the effect of the load order.
 *
 * @param receivedMs when a host received the announcement
 */
export function recordAnnouncedLoad(
  orderState: ReplicaOrderState,
  receivedMs: number,
): void {
  if (outstandingLoad(orderState) !== undefined) {
    orderState.outstanding = undefined;
  }
  orderState.loadSettledMs = Math.min(
    orderState.loadSettledMs ?? receivedMs,
    receivedMs,
  );
  orderState.loadAnnounced = true;
}
