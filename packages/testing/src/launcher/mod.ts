/**
 * Real processes under the control of a test.
 *
 * @module
 */
export * from "./fleet.ts";
export * from "./fleet_host.ts";
export * from "./links.ts";
export * from "./operator_client.ts";
export * from "./process.ts";
export * from "./settings_file.ts";
