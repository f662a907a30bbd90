/**
 * What a control host needs of its surroundings.
 *
 * @module
 */
import type * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";

/** Who gives an order, and which state of the server it is meant for. */
export type OrderFence = {
  /** Name of the host that leads. */
  readonly holder: string;
  /** Grows with each leadership. */
  readonly token: number;
  /** Orders that the server has accepted before this one. */
  readonly expected: number;
};

/** A server's answer to an order. */
export type OrderAnswer =
  /** It carries the order out. */
  | { readonly kind: "accepted" }
  /** What the order asks for is so already. */
  | { readonly kind: "holds" }
  /** Another order is under way, or was accepted meanwhile. */
  | { readonly kind: "conflict" }
  /** It will not carry the order out. */
  | { readonly kind: "refused"; readonly status: number }
  /** No answer came; the order may be carried out, now or later. */
  | { readonly kind: "unknown"; readonly reason: string };

/** Speaks to the servers that hold models. */
export interface EngineClient {
  order(
    server: gateway.Heartbeat,
    order: core.gateway.ModelOrder,
    fence: OrderFence,
  ): Promise<OrderAnswer>;

  /** Asks a server for its state; rejects where no answer can be read. */
  report(server: gateway.Heartbeat): Promise<gateway.EngineReport>;
}
