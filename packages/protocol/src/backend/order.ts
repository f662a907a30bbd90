import * as v from "valibot";
import * as announcement from "./announcement.ts";

const commonFields = {
  /** Fencing token: the log index of the decision, higher for later ones. */
  fence: v.pipe(v.number(), v.safeInteger(), v.minValue(0)),
  /** Incarnation of the server that the order is addressed to. */
  incarnation: announcement.Name,
  /** Time after which the server aborts the order, in milliseconds. */
  timeoutMs: v.pipe(v.number(), v.integer(), v.minValue(1)),
  model: announcement.ModelReference,
  version: announcement.Name,
};

/** Instructs a backend server to load or unload a model or an adapter. */
export const Order = v.variant("kind", [
  v.object({
    kind: v.literal("load"),
    ...commonFields,
    bytes: announcement.Bytes,
  }),
  v.object({ kind: v.literal("unload"), ...commonFields }),
  v.object({
    kind: v.literal("load-adapter"),
    ...commonFields,
    bytes: announcement.Bytes,
  }),
  v.object({ kind: v.literal("unload-adapter"), ...commonFields }),
]);
export type Order = v.InferOutput<typeof Order>;

/** Response of a backend server to an order (`POST {address}/orders`). */
export const OrderResult = v.variant("kind", [
  /** The change is complete. */
  v.object({ kind: v.literal("done") }),
  /** The server changed nothing. */
  v.object({
    kind: v.literal("refused"),
    reason: v.picklist([
      "stale-fence",
      "wrong-incarnation",
      "no-memory",
      "not-loaded",
      "leaving",
      "failed",
    ]),
    detail: v.optional(v.string()),
  }),
]);
export type OrderResult = v.InferOutput<typeof OrderResult>;
