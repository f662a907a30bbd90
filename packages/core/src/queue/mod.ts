/**
 * Queueing of requests on one entry host.
 *
 * @module
 */
export * from "./drain_schedule.ts";
export * from "./fair_queue.ts";
export * from "./throughput_estimator.ts";
export * from "./types.ts";
