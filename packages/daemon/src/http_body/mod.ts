/**
 * Reads request bodies with a size limit and a timeout, for all HTTP listeners,
 * and paces bodies in small chunks.
 *
 * @module
 */
export * from "./body_collector.ts";
export * from "./read.ts";
export * from "./read_pacer.ts";
