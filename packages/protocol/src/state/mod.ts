/**
 * Commands, command results and views of the replicated state.
 *
 * @module
 */
export * from "./command.ts";
export * from "./result.ts";
export * from "./view.ts";
