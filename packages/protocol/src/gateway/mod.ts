/**
 * Schemas of the gateway, which routes by host and path: configuration, backend
 * servers and RPC messages.
 *
 * @module
 */
export * from "./validation.ts";
export * from "./configuration.ts";
export * from "./duties.ts";
export * from "./messages.ts";
export * from "./server.ts";
