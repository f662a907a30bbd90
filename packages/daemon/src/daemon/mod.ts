/**
 * The daemon as a whole.
 *
 * @module
 */
export * from "./daemon.ts";
