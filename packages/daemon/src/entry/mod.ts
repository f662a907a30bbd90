/**
 * The entry role: callers' requests from arrival to answer.
 *
 * @module
 */
export * from "./admission.ts";
export * from "./at_most_once.ts";
export * from "./attended_time.ts";
export * from "./callers.ts";
export * from "./deaths.ts";
export * from "./deferred.ts";
export * from "./demand_report.ts";
export * from "./dispatcher.ts";
export * from "./expected_slots.ts";
export * from "./lingering.ts";
export * from "./placement.ts";
export * from "./resolve.ts";
export * from "./types.ts";
