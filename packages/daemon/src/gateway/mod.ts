/**
 * Gateway that forwards requests by host and path: its entry hosts and control
 * hosts.
 *
 * @module
 */
export * as control from "./control/mod.ts";
export * as entry from "./entry/mod.ts";
export * from "./entry/response_buffer.ts";
export * from "./guarded_agent.ts";
export * from "./metrics.ts";
