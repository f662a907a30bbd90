/**
 * Decides on the leader when deferred requests are executed, and where.
 *
 * @module
 */
export { plan } from "./planner.ts";
export * from "./types.ts";
