/**
 * Reads request bodies with a size limit and a timeout, for all HTTP listeners.
 *
 * @module
 */
export * from "./read.ts";
