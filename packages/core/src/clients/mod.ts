/**
 * Limits on clients that are not controlled: what one connection and all
 * connections of a listener may hold.
 *
 * @module
 */
export * from "./connection_load.ts";
export * from "./limits.ts";
