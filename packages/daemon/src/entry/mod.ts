/**
 * The entry role, which handles callers' requests from arrival to answer.
 *
 * @module
 */
export * from "./admission.ts";
export * from "./at_most_once.ts";
export * from "./stall_aware_clock.ts";
export * from "./caller_handler.ts";
export * from "./crash_detector.ts";
export * from "./deferred.ts";
export * from "./demand_report.ts";
export * from "./dispatcher.ts";
export * from "./expected_slots.ts";
export * from "./explainer.ts";
export * from "./lingering.ts";
export * from "./placement.ts";
export * from "./resolve.ts";
export * from "./types.ts";
