/**
 * Modules of the daemon that other programs use.
 *
 * @module
 */
export * as fleet from "./fleet/mod.ts";
export * as gateway from "./gateway/mod.ts";
export * as httpBody from "./http_body/mod.ts";
export * as listener from "./listener/mod.ts";
export * as log from "./log/mod.ts";
export * as resources from "./resources/mod.ts";
