/**
 * Client that sends orders to backend servers.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { backend, errors } from "@ebonypath/protocol";
import * as v from "valibot";
import * as connections from "./connections.ts";
import * as exchange from "./exchange.ts";
import * as inferenceClient from "./inference_client.ts";
import type * as types from "./types.ts";

/** Time to wait beyond the timeout of the order, in milliseconds. */
const RESPONSE_MARGIN_MS = 500;
/** Maximum size of the response to an order, in bytes. */
const MAX_RESPONSE_BYTES = 64 * 1_024;

type RefusedResult = Extract<backend.OrderResult, { kind: "refused" }>;

/** Outcome of an order as far as the sender knows it. */
export type OrderOutcome =
  | { readonly kind: "done" }
  | {
    readonly kind: "refused";
    /** `not-sent` if no byte of the order was sent. */
    readonly reason: RefusedResult["reason"] | "not-sent";
    readonly detail?: string | undefined;
  }
  /** The order may have been executed, or may still be executed later. */
  | { readonly kind: "unknown"; readonly error: errors.StepError };

/**
 * Sends an order on a dedicated connection. Never rejects.
 *
 * @example
 * ```ts
 * const outcome = await sendOrder(server, order, signal);
 * if (outcome.kind === "unknown") ledger.keep(order);
 * ```
 */
export async function sendOrder(
  server: types.Server,
  order: backend.Order,
  signal: AbortSignal,
): Promise<OrderOutcome> {
  const responseTimeoutMs = order.timeoutMs + RESPONSE_MARGIN_MS;
  const client = connections.createClient(server.address);
  const handler = new exchange.Exchange({
    peer: server.id,
    method: "POST",
    requiresRequestId: false,
    firstByteTimeoutMs: responseTimeoutMs,
    idleTimeoutMs: RESPONSE_MARGIN_MS,
    signal,
    onClose: (isComplete) => connections.closeClient(client, isComplete),
  });
  inferenceClient.startExchange(client, handler, {
    method: "POST",
    path: "/orders",
    headers: { "content-type": "application/json" },
    body: JSON.stringify(order),
    reset: true,
  });
  const result = await handler.result;
  if (result.kind === "answered") return await readOutcome(server, result);
  if (result.bytesSent) return { kind: "unknown", error: result.error };
  const detail = result.error.message;
  return { kind: "refused", reason: "not-sent", detail };
}

async function readOutcome(
  server: types.Server,
  response: types.ServerResponse,
): Promise<OrderOutcome> {
  try {
    const text = await readResponseBody(response);
    if (response.status !== 200) {
      throw new Error(`status ${response.status}`);
    }
    return v.parse(backend.OrderResult, JSON.parse(text));
  } catch (cause) {
    const message = (cause as Error).message;
    const error = new errors.StepError("order", server.id, message, cause);
    return { kind: "unknown", error };
  }
}

async function readResponseBody(
  response: types.ServerResponse,
): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of response.body) {
    chunks.push(chunk as Buffer);
    bytes += (chunk as Buffer).length;
    if (bytes > MAX_RESPONSE_BYTES) {
      throw new RangeError("the answer is too large");
    }
  }
  return Buffer.concat(chunks).toString("utf8");
}
