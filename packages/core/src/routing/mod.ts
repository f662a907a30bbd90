/**
 * Selection of a backend server for a request, and retries after failures.
 *
 * @module
 */
export * from "./explanation.ts";
export * from "./outlier_detector.ts";
export * from "./prefix_hints.ts";
export * from "./retry.ts";
export * from "./retry_budget.ts";
export * from "./server_selection.ts";
