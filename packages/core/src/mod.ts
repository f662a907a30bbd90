/**
 * Pure decisions of Ebonypath.
 *
 * @module
 */
export * as replication from "./replication/mod.ts";
