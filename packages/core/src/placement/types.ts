import type * as protocol from "@ebonypath/protocol";
import type * as state from "../state/mod.ts";

/** Longest time for which an announcement may be under way, in milliseconds. */
export const MAX_ANNOUNCEMENT_DELAY_MS = 2_000;
/** Orders under way at once at a server that checks fencing. */
export const MAX_FENCED_ORDERS = 4;
/** Orders under way at once at a server that does not. */
export const MAX_UNFENCED_ORDERS = 1;
/** Age from which an announcement is too old to base a decision on. */
export const MAX_FRESH_AGE_MS = 3_000;
/** Silence after which the replicas of a server serve no demand. */
export const SILENCE_TIMEOUT_MS = 5_000;
/** Silence after which the decisions about a server are forgotten. */
export const FORGET_SILENT_AFTER_MS = 24 * 60 * 60 * 1_000;
/** Longest time until a backend server receives an order that was sent. */
export const MAX_ORDER_DELIVERY_MS = 2_000;
/** Longest execution time of an order, in milliseconds. */
export const MAX_ORDER_EXECUTION_MS = 120_000;

/** Why a replica is unloaded. */
export type UnloadReason =
  | "evicted"
  | "idle"
  | "outdated"
  | "surplus"
  | "fence"
  | "unknown-model";

/** Which replica is decided, and where. */
export type ReplicaSpec = Omit<state.Replica, "index" | "unloadIndex">;

/** An order that has to be sent to a backend server. */
export interface OrderAction {
  readonly kind: "order";
  readonly replica: number;
  readonly server: string;
  readonly address: string;
  readonly order: protocol.backend.Order;
}

/** A step that the leader takes: a proposal for the log, or an order. */
export type Action =
  /** Propose `decide-replica` for a replica that will be loaded. */
  | ({ readonly kind: "decide" } & ReplicaSpec)
  /** Propose `decide-replica` for a model that the server holds undecided. */
  | ({ readonly kind: "adopt" } & ReplicaSpec)
  /** Propose `decide-unload`. */
  | {
    readonly kind: "unload";
    readonly replica: number;
    readonly reason: UnloadReason;
  }
  /** Propose `forget-replica`. */
  | {
    readonly kind: "forget";
    readonly replica: number;
    readonly reason: "unloaded" | "server-gone" | "refused" | "turned-cold";
  }
  | OrderAction;

/** What the leader knows when it plans. */
export interface PlanInput {
  /** Monotonic clock of the leader, in milliseconds. */
  readonly nowMs: number;
  readonly catalogue: state.Catalogue;
  /** The committed decisions. */
  readonly replicas: readonly state.Replica[];
  readonly withdrawnFailureDomains: ReadonlySet<string>;
  /**
   * Requests that run on a replica which is to be unloaded, and on adapters of
   * its model, over all hosts. Undefined while a host has not reported since
   * `sinceMs`. Without it a replica of a model in use is unloaded only when its
   * server runs nothing.
   */
  readonly runningRequestsOn?: (
    replica: Pick<ReplicaSpec, "server" | "incarnation" | "model">,
    sinceMs: number,
  ) => number | undefined;
}

/** Where a checkpoint is loaded from. */
export type WeightSource = "memory" | "disk" | "store";

/** Whether a reference names an adapter. */
export function isAdapter(reference: string): boolean {
  return reference.includes(":");
}

/** The reference of the base model. */
export function baseModelOf(reference: string): string {
  const colon = reference.indexOf(":");
  return colon < 0 ? reference : reference.slice(0, colon);
}

/** The name of one start of a server. */
export function incarnationKey(
  { server, incarnation }: Pick<ReplicaSpec, "server" | "incarnation">,
): string {
  return `${server}/${incarnation}`;
}

/** The name of one version of a model. */
export function modelVersionKey(model: string, version: string): string {
  return `${model}@${version}`;
}
