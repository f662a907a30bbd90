/**
 * Finds requests that crash the backend servers that run them.
 *
 * @module
 */
export * from "./ledger.ts";
export * from "./types.ts";
export * from "./watch.ts";
