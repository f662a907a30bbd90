/**
 * Communication with backend servers: announcements, orders and inference
 * requests.
 *
 * @module
 */
export * from "./announcement_listener.ts";
export * from "./content_digest.ts";
export * from "./event_stream.ts";
export { ResponseTimeoutError as SilentAnswer } from "./exchange.ts";
export { InferenceClient } from "./inference_client.ts";
export * from "./order_client.ts";
export type * from "./types.ts";
