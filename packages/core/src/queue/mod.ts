/**
 * Requests that wait at one entry host.
 *
 * @module
 */
export * from "./fair_queue.ts";
export * from "./supply_rate.ts";
export * from "./types.ts";
