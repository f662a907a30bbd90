/**
 * Control hosts of a gateway fleet.
 *
 * @module
 */
export * from "./control_host.ts";
export * from "./types.ts";
