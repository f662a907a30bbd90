/**
 * Schema, validation and comparison of the published configuration.
 *
 * @module
 */
export * from "./validation.ts";
export * from "./difference.ts";
export * from "./types.ts";
