/**
 * Detection of requests that crash the backend servers that run them.
 *
 * @module
 */
export * from "./bounds.ts";
export * from "./evidence.ts";
export * from "./host_suspects.ts";
export * from "./pending_failures.ts";
export * from "./quarantine_list.ts";
export * from "./suspect_tracker.ts";
