/**
 * The settings file of the daemon: schema, defaults and validation.
 *
 * @module
 */
export * from "./address.ts";
export * from "./parse.ts";
export * from "./types.ts";
