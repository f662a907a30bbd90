/**
 * Forwarding by host and path: configuration, servers and internal calls.
 *
 * @module
 */
export * from "./check.ts";
export * from "./configuration.ts";
export * from "./messages.ts";
export * from "./server.ts";
