/**
 * Concurrency limit of a backend server that is new, back in service or has
 * lost its caches.
 *
 * @module
 */
export * from "./adaptive_limit.ts";
