/**
 * The published configuration: workspaces, services, models, routes and tiers.
 *
 * @module
 */
export * from "./check.ts";
export * from "./difference.ts";
export * from "./types.ts";
