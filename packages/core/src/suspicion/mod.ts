/**
 * Finds requests that crash the backend servers that run them.
 *
 * @module
 */
export * from "./suspect_tracker.ts";
export * from "./bounds.ts";
export * from "./host_suspects.ts";
