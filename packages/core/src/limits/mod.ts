/**
 * Leased shares enforce limits that apply across all hosts: token buckets of
 * workspaces and concurrency limits of backend servers.
 *
 * @module
 */
export * from "./bucket_pool.ts";
export * from "./bucket_share.ts";
export * from "./fair_division.ts";
export * from "./host_shares.ts";
export {
  type CommittedGrantablePools,
  IDLE_POOL_MS,
  type PoolNames,
} from "./grantable_pool_set.ts";
export * from "./share_allocator.ts";
export * from "./allocation_table.ts";
export * from "./slot_pool.ts";
export * from "./slot_share.ts";
export * from "./types.ts";
