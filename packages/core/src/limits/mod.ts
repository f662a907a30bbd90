/**
 * Leased shares: the one mechanism for limits that hold over all hosts.
 *
 * @module
 */
export * from "./types.ts";
