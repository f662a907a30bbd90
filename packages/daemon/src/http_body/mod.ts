/**
 * Reading of request bodies within limits, for every listener.
 *
 * @module
 */
export * from "./read.ts";
