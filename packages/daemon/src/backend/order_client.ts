/**
 * Sends orders to backend servers.
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

/** Time for the answer beyond the time that the server has, in milliseconds. */
const ANSWER_MARGIN_MS = 500;
/** Largest answer to an order, in bytes. */
const ANSWER_BYTES = 64 * 1_024;

type Refused = Extract<backend.OrderResult, { kind: "refused" }>;

/** What is known about an order after it was sent. */
export type OrderOutcome =
  | { readonly kind: "done" }
  | {
    readonly kind: "refused";
    /** `not-sent` if no byte of the order went out. */
    readonly reason: Refused["reason"] | "not-sent";
    readonly detail?: string | undefined;
  }
  /** The order may have been executed, now or later. */
  | { readonly kind: "unknown"; readonly error: errors.StepError };

/**
 * Sends an order on a connection of its own. Never rejects.
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
  const deadlineMs = order.timeoutMs + ANSWER_MARGIN_MS;
  const client = connections.freshClient(server.address);
  const handler = new exchange.Exchange({
    peer: server.id,
    method: "POST",
    requiresRequestId: false,
    firstByteTimeoutMs: deadlineMs,
    idleTimeoutMs: ANSWER_MARGIN_MS,
    signal,
    onClose: (isWhole) => connections.closeClient(client, isWhole),
  });
  inferenceClient.start(client, handler, {
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
  answer: types.ServerResponse,
): Promise<OrderOutcome> {
  try {
    const text = await readAnswer(answer);
    if (answer.status !== 200) {
      throw new Error(`status ${answer.status}`);
    }
    return v.parse(backend.OrderResult, JSON.parse(text));
  } catch (cause) {
    const message = (cause as Error).message;
    const error = new errors.StepError("order", server.id, message, cause);
    return { kind: "unknown", error };
  }
}

async function readAnswer(answer: types.ServerResponse): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of answer.body) {
    chunks.push(chunk as Buffer);
    bytes += (chunk as Buffer).length;
    if (bytes > ANSWER_BYTES) throw new RangeError("the answer is too large");
  }
  return Buffer.concat(chunks).toString("utf8");
}
