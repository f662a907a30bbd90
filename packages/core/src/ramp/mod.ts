/**
 * How many requests a backend server that is fresh, back in service or without
 * its caches may run at once.
 *
 * @module
 */
export * from "./adaptive_limit.ts";
