/**
 * Choice of a backend server for a request, and of what follows a failure.
 *
 * @module
 */
export * from "./server_selection.ts";
export * from "./outlier_detector.ts";
export * from "./prefix_hints.ts";
export * from "./retry.ts";
export * from "./retry_budget.ts";
