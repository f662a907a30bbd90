/**
 * Calls of the operators' interface, with retries over several servers.
 *
 * @module
 */
export * from "./client.ts";
export * from "./transport.ts";
