/**
 * Decides on the leader which backend server loads and unloads which model.
 *
 * @module
 */
export * from "./arrivals.ts";
export { type Capacity } from "./capacity.ts";
export * from "./commands.ts";
export { DemandAggregator, type TargetDemand } from "./demand.ts";
export * from "./estimates.ts";
export { type AnnouncedServer, ServerRegistry } from "./fleet.ts";
export * from "./idle.ts";
export { committedBytes } from "./ledger.ts";
export { type Leadership } from "./orders.ts";
export * from "./placement.ts";
export { type Proposal } from "./proposals.ts";
export { type ReplicaStatus } from "./status.ts";
export * from "./store_gate.ts";
export * from "./types.ts";
