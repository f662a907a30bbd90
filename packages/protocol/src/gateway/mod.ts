/**
 * Forwarding by host and path: configuration, servers and internal calls.
 *
 * @module
 */
export * from "./validation.ts";
export * from "./configuration.ts";
export * from "./messages.ts";
export * from "./server.ts";
