/**
 * Durable store of one replica: write-ahead log, snapshots and identity.
 *
 * @module
 */

export * from "./types.ts";
