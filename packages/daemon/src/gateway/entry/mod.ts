/**
 * Entry hosts of a gateway fleet.
 *
 * @module
 */
export * from "./entry_host.ts";
export * from "./types.ts";
