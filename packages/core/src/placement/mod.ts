/**
 * Decides, on the leader, which backend server loads and unloads which model.
 *
 * @module
 */
export * from "./arrival_rates.ts";
export { type Capacity } from "./capacity.ts";
export * from "./commands.ts";
export { DemandAggregator, type TargetDemand } from "./demand.ts";
export * from "./load_time_estimator.ts";
export { committedBytes } from "./memory_accounting.ts";
export { type LeadershipBounds } from "./order_tracker.ts";
export { type Proposal } from "./pending_proposals.ts";
export * from "./placement.ts";
export { type ReplicaStatus } from "./replica_status.ts";
export * from "./retention.ts";
export { type AnnouncedServer, AnnouncedServers } from "./announced_servers.ts";
export * from "./store_load_limiter.ts";
export * from "./types.ts";
