/**
 * Reads request bodies with a size limit and a timeout, for all HTTP listeners.
 *
 * @module
 */
export * from "./body_collector.ts";
export * from "./read.ts";
