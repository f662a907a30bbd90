/**
 * Pure decisions of Ebonypath.
 *
 * @module
 */
export * as limits from "./limits/mod.ts";
export * as replication from "./replication/mod.ts";
