/**
 * Schemas, messages and the error catalogue shared by all processes.
 *
 * @module
 */
export * as backend from "./backend/mod.ts";
export * as configuration from "./configuration/mod.ts";
export * as control from "./control/mod.ts";
export * as errors from "./errors/mod.ts";
export * as gateway from "./gateway/mod.ts";
export * as limits from "./limits/mod.ts";
export * as operators from "./operators/mod.ts";
export * as quantity from "./quantity/mod.ts";
export * as replication from "./replication/mod.ts";
export * as serviceFile from "./service_file/mod.ts";
export * as settings from "./settings/mod.ts";
export * as state from "./state/mod.ts";
export * as suspicion from "./suspicion/mod.ts";
export * as toml from "./toml/mod.ts";
