/**
 * Load, latencies, use of processes and slopes.
 *
 * @module
 */
export * from "./arrivals.ts";
export * from "./bucket.ts";
export * from "./ideal_store.ts";
export * from "./latency.ts";
export * from "./load.ts";
export * from "./slope.ts";
export * from "./stalls.ts";
export * from "./usage.ts";
export * from "./window.ts";
