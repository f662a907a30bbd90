/**
 * The published configuration: workspaces, services, models, routes and tiers.
 *
 * @module
 */
export * from "./types.ts";
