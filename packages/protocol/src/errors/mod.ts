/**
 * Error catalogue and error classes shared by all processes.
 *
 * @module
 */
export * from "./catalogue.ts";
export * from "./operator_catalogue.ts";
export * from "./problem_response.ts";
export * from "./refusal.ts";
export * from "./step_error.ts";
export * from "./types.ts";
