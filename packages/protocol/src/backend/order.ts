import * as v from "valibot";
import * as announcement from "./announcement.ts";

const orderFields = {
  /** Log index of the decision; grows with every later decision. */
  fence: v.pipe(v.number(), v.safeInteger(), v.minValue(0)),
  /** Incarnation that the order is meant for. */
  incarnation: announcement.Name,
  /** The server gives up after this time, in milliseconds. */
  timeoutMs: v.pipe(v.number(), v.integer(), v.minValue(1)),
  model: announcement.ModelReference,
  version: announcement.Name,
};

/** Asks a backend server to change what it holds in accelerator memory. */
export const Order = v.variant("kind", [
  v.object({
    kind: v.literal("load"),
    ...orderFields,
    bytes: announcement.Bytes,
  }),
  v.object({ kind: v.literal("unload"), ...orderFields }),
  v.object({
    kind: v.literal("load-adapter"),
    ...orderFields,
    bytes: announcement.Bytes,
  }),
  v.object({ kind: v.literal("unload-adapter"), ...orderFields }),
]);
export type Order = v.InferOutput<typeof Order>;

/** The answer of a backend server to an order (`POST {address}/orders`). */
export const OrderResult = v.variant("kind", [
  /** The change is complete. */
  v.object({ kind: v.literal("done") }),
  /** Nothing was changed. */
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
