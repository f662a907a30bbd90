/**
 * Messages between hosts and the leader of the replicated state.
 *
 * @module
 */
export * from "./exchange.ts";
export * from "./feed.ts";
export * from "./query.ts";
export * from "./server.ts";
