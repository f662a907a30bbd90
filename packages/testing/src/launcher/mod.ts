/**
 * Real processes under the control of a test.
 *
 * @module
 */
export * from "./process.ts";
