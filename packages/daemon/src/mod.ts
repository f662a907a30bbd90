/**
 * The parts of the daemon that other programs are made of.
 *
 * @module
 */
export * as fleet from "./fleet/mod.ts";
export * as gateway from "./gateway/mod.ts";
export * as log from "./log/mod.ts";
export * as resources from "./resources/mod.ts";
