import type * as protocol from "@ebonypath/protocol";
import type * as state from "../state/mod.ts";

/** Maximum delay between an announcement and its arrival, in milliseconds. */
export const MAX_ANNOUNCEMENT_DELAY_MS = 2_000;
/** Maximum number of outstanding orders of a server that checks fencing. */
export const MAX_FENCED_ORDERS = 4;
/** Maximum number of outstanding orders of a server that does not. */
export const MAX_UNFENCED_ORDERS = 1;
/** Maximum age of an announcement that new decisions are based on. */
export const MAX_FRESH_AGE_MS = 3_000;
/** Silence after which the replicas of a server no longer count as live. */
export const SILENCE_TIMEOUT_MS = 5_000;
/** Silence after which the decisions for a server are forgotten. */
export const FORGET_SILENT_AFTER_MS = 24 * 60 * 60 * 1_000;
/** Maximum time from sending an order to its receipt by the server. */
export const MAX_ORDER_DELIVERY_MS = 2_000;
/** Maximum execution time of an order, in milliseconds. */
export const MAX_ORDER_EXECUTION_MS = 120_000;

/** Why a replica is unloaded. */
export type UnloadReason =
  | "evicted"
  | "idle"
  | "outdated"
  | "surplus"
  | "fence"
  | "unknown-model";

/** A replica and its server, without the log indexes of its decisions. */
export type ReplicaSpec = Omit<state.Replica, "index" | "unloadIndex">;

/** An order to be sent to a backend server. */
export interface OrderAction {
  readonly kind: "order";
  readonly replica: number;
  readonly server: string;
  readonly address: string;
  readonly order: protocol.backend.Order;
}

/** An action of the leader: a proposal for the log, or an order to send. */
export type Action =
  /** Proposes `decide-replica` for a replica to be loaded. */
  | ({ readonly kind: "decide" } & ReplicaSpec)
  /** Proposes `decide-replica` for a model that is loaded without a decision. */
  | ({ readonly kind: "adopt" } & ReplicaSpec)
  /** Proposes `decide-unload`. */
  | {
    readonly kind: "unload";
    readonly replica: number;
    readonly reason: UnloadReason;
  }
  /** Proposes `forget-replica`. */
  | {
    readonly kind: "forget";
    readonly replica: number;
    readonly reason: "unloaded" | "server-gone" | "refused" | "turned-cold";
  }
  | OrderAction;

/** Input of one planning round. */
export interface PlanInput {
  /** Monotonic clock of the leader, in milliseconds. */
  readonly nowMs: number;
  readonly catalogue: state.Catalogue;
  /** The committed decisions. */
  readonly replicas: readonly state.Replica[];
  readonly withdrawnFailureDomains: ReadonlySet<string>;
  /**
   * Counts the requests of all hosts that are running on a replica to be
   * unloaded or on adapters of its model. Returns undefined while a host has
   * not reported since `sinceMs`. If the function is not given, a replica of a
   * model in use is unloaded only when its server runs no requests.
   */
  readonly runningRequestsOn?: (
    replica: Pick<ReplicaSpec, "server" | "incarnation" | "model">,
    sinceMs: number,
  ) => number | undefined;
}

/** Where the weights of a model are loaded from. */
export type WeightSource = "memory" | "disk" | "store";

/** Whether a model reference names an adapter. */
export function isAdapter(reference: string): boolean {
  return reference.includes(":");
}

/** The base model of a reference, which may name an adapter. */
export function baseModelOf(reference: string): string {
  const colon = reference.indexOf(":");
  return colon < 0 ? reference : reference.slice(0, colon);
}

/** Key of one incarnation of a server. */
export function incarnationKey(
  { server, incarnation }: Pick<ReplicaSpec, "server" | "incarnation">,
): string {
  return `${server}/${incarnation}`;
}

/** Key of one version of a model. */
export function modelVersionKey(model: string, version: string): string {
  return `${model}@${version}`;
}
