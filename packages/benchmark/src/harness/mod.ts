/**
 * Fleets, fakes and callers of the experiments.
 *
 * @module
 */
export * from "./caller.ts";
export * from "./catalogue.ts";
export * from "./fleet.ts";
export * from "./settings.ts";
export * from "./swarm.ts";
