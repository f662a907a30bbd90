/**
 * Scheduling of deferred requests on the leader: when they run, and on which
 * host.
 *
 * @module
 */
export { plan } from "./planner.ts";
export * from "./types.ts";
