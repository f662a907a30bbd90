/**
 * Schema, defaults and validation of the settings file of the daemon.
 *
 * @module
 */
export * from "./address.ts";
export * from "./parse.ts";
export * from "./types.ts";
