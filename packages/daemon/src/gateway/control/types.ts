/**
 * Interfaces between control hosts and backend servers.
 *
 * @module
 */
import type * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";

/** Sender of an order, and the server state that it is meant for. */
export type OrderFence = {
  /** Name of the leader. */
  readonly holder: string;
  /** Fencing token; increases with each leadership. */
  readonly token: number;
  /** Number of orders that the server must have accepted before this one. */
  readonly expected: number;
};

/** Answer of a server to an order. */
export type OrderAnswer =
  /** The server executes the order. */
  | { readonly kind: "accepted" }
  /** The server is already in the state that the order asks for. */
  | { readonly kind: "holds" }
  /** Another order is in progress, or was accepted in the meantime. */
  | { readonly kind: "conflict" }
  /** The server will not execute the order. */
  | { readonly kind: "refused"; readonly status: number }
  /** No answer was received; the order may be executed now or later. */
  | { readonly kind: "unknown"; readonly reason: string };

/** Client of the backend servers that hold models. */
export interface EngineClient {
  order(
    server: gateway.Heartbeat,
    order: core.gateway.ModelOrder,
    fence: OrderFence,
  ): Promise<OrderAnswer>;

  /** Fetches the state of a server; rejects without a readable answer. */
  report(server: gateway.Heartbeat): Promise<gateway.EngineReport>;
}
