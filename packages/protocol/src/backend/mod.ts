/**
 * Messages exchanged between entry hosts and backend servers.
 *
 * @module
 */
export * from "./announcement.ts";
export * from "./order.ts";
