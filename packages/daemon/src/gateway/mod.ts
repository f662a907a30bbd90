/**
 * Forwarding by host and path: entry hosts and control hosts.
 *
 * @module
 */
export * as control from "./control/mod.ts";
export * as entry from "./entry/mod.ts";
export * from "./metrics.ts";
