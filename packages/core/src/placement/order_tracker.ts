import type * as protocol from "@ebonypath/protocol";
import type * as state from "../state/mod.ts";
import * as forgottenReplicas from "./forgotten_replicas.ts";
import * as orderState from "./order_state.ts";
import * as replicaStatusCache from "./replica_status_cache.ts";
import * as announcedServers from "./announced_servers.ts";
import * as types from "./types.ts";

/** The start of a leader's term, and what remains from earlier leaders. */
export interface LeadershipBounds {
  /** Monotonic time at which the term began, in milliseconds. */
  readonly sinceMs: number;
  /** Time until which orders of earlier leaders may still take effect. */
  readonly earlierOrdersEndMs: number;
  /** Highest log index of a decision made by an earlier leader. */
  readonly lastInheritedIndex: number;
}

/** Tracks the orders of this leader and their known results, by replica. */
export class OrderTracker {
  readonly #bounds: LeadershipBounds;
  readonly #states = new Map<number, orderState.ReplicaOrderState>();
  /** Highest fencing number sent to each server incarnation. */
  readonly #highestFences = new Map<string, number>();
  readonly #forgotten = new forgottenReplicas.ForgottenReplicas();
  /** The decisions of the last call of `retain`. */
  #retained: readonly state.Replica[] = [];

  constructor(bounds: LeadershipBounds) {
    this.#bounds = bounds;
  }

  /** The order state of a replica, created on first use. */
  stateOf(replica: state.Replica): orderState.ReplicaOrderState {
    const known = this.#states.get(replica.index);
    if (known !== undefined) return known;
    const loadSettledMs = this.isInherited(replica)
      ? this.#bounds.earlierOrdersEndMs
      : this.#bounds.sinceMs;
    const created = orderState.createOrderState(replica, loadSettledMs);
    this.#states.set(replica.index, created);
    return created;
  }

  /** Whether the decision was made by an earlier leader. */
  isInherited(replica: state.Replica): boolean {
    return replica.index <= this.#bounds.lastInheritedIndex;
  }

  /** Removes the state of replicas that are not among the decisions. */
  retain(replicas: readonly state.Replica[], nowMs: number): void {
    this.#forgotten.expire(nowMs);
    if (replicaStatusCache.haveSameReplicas(this.#retained, replicas)) return;
    this.#retained = replicas;
    const kept = new Set(replicas.map(({ index }) => index));
    for (const [index, known] of this.#states) {
      if (kept.has(index)) continue;
      this.#states.delete(index);
      this.#forgotten.add(known.replica, nowMs);
    }
    const incarnations = new Set(replicas.map(types.incarnationKey));
    for (const key of this.#highestFences.keys()) {
      if (!incarnations.has(key)) this.#highestFences.delete(key);
    }
  }

  /** Unloaded model versions that a delayed announcement may still list. */
  recentlyForgottenOn(
    server: announcedServers.AnnouncedServer,
  ): ReadonlySet<string> {
    return this.#forgotten.forgottenOn(server);
  }

  /** Whether a server that checks fencing would refuse this number. */
  isStaleFence(replica: state.Replica, fence: number): boolean {
    if (fence <= this.stateOf(replica).refusedFence) return true;
    return fence <
      (this.#highestFences.get(types.incarnationKey(replica)) ?? 0);
  }

  /** Whether orders of earlier leaders can no longer take effect. */
  haveEarlierOrdersEnded(nowMs: number): boolean {
    return nowMs >= this.#bounds.earlierOrdersEndMs;
  }

  /** When the term of this leader began. */
  get sinceMs(): number {
    return this.#bounds.sinceMs;
  }

  /** Records an order just before it is sent. */
  recordSent(
    replica: state.Replica,
    outstanding: orderState.OutstandingOrder,
  ): void {
    orderState.recordSentOrder(this.stateOf(replica), outstanding);
    const key = types.incarnationKey(replica);
    const highest = this.#highestFences.get(key) ?? 0;
    this.#highestFences.set(key, Math.max(highest, outstanding.fence));
  }

  /**
   * Records the answer to an order. Returns the order if it was a load that is
   * complete.
   *
   * @param result undefined if the answer was lost
   */
  recordAnswer(
    replica: number,
    fence: number,
    result: protocol.backend.OrderResult | undefined,
    nowMs: number,
  ): orderState.OutstandingOrder | undefined {
    const known = this.#states.get(replica);
    const outstanding = known?.outstanding;
    if (known === undefined || outstanding?.fence !== fence) return undefined;
    if (result === undefined) {
      known.outstanding = { ...outstanding, answerLost: true };
      return undefined;
    }
    if (!orderState.isLoadOrder(outstanding.kind)) {
      orderState.recordUnloadAnswer(known, fence, result, nowMs);
      return undefined;
    }
    orderState.recordLoadAnswer(known, result, nowMs);
    return result.kind === "done" ? outstanding : undefined;
  }

  /** Updates the order state from the server's newest announcement. */
  observeAnnouncement(
    replica: state.Replica,
    server: announcedServers.AnnouncedServer,
    nowMs: number,
  ): void {
    const known = this.stateOf(replica);
    orderState.expireOrder(known, nowMs);
    const { lastSeenMs } = server;
    const showsLoad =
      announcedServers.announcesModel(server, replica.model, replica.version) &&
      lastSeenMs >= this.#earliestProofMs(replica, known);
    if (showsLoad) orderState.recordAnnouncedLoad(known, lastSeenMs);
  }

  /**
   * Time from which an announcement that lists the model proves the effect of
   * the load order. An older one may show an earlier replica of the same model.
   */
  #earliestProofMs(
    replica: state.Replica,
    known: orderState.ReplicaOrderState,
  ): number {
    return this.#loadSentMs(replica, known) + types.MAX_ANNOUNCEMENT_DELAY_MS;
  }

  /** Upper bound of the time the load was sent; Infinity if it was not. */
  #loadSentMs(
    replica: state.Replica,
    known: orderState.ReplicaOrderState,
  ): number {
    const load = orderState.outstandingLoad(known);
    if (load !== undefined) return load.sentMs;
    if (known.loadAnswered) return known.loadSettledMs ?? Infinity;
    return this.isInherited(replica) ? this.#bounds.sinceMs : Infinity;
  }
}
