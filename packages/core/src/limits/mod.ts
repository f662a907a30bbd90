/**
 * Leased shares: the one mechanism for limits that hold over all hosts.
 *
 * @module
 */
export * from "./bucket_pool.ts";
export * from "./bucket_share.ts";
export * from "./division.ts";
export * from "./holder.ts";
export { type GrantableStart, type PoolNames, UNUSED_MS } from "./grantable.ts";
export * from "./leader.ts";
export * from "./ledger.ts";
export * from "./slot_pool.ts";
export * from "./slot_share.ts";
export * from "./types.ts";
