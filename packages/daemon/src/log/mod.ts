/**
 * Logging: one line of key=value pairs for each event.
 *
 * @module
 */
export * from "./format.ts";
export * from "./log.ts";
export * from "./sink.ts";
