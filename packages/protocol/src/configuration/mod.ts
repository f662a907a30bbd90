/**
 * The published configuration: workspaces, services, models, routes and tiers.
 *
 * @module
 */
export * from "./validation.ts";
export * from "./difference.ts";
export * from "./types.ts";
