/**
 * Decides on the leader which backend server loads and unloads which model.
 *
 * @module
 */
export * from "./arrivals.ts";
export { type Capacity } from "./capacity.ts";
export * from "./commands.ts";
export { DemandTable, type Need } from "./demand.ts";
export * from "./estimates.ts";
export { Fleet, type Server } from "./fleet.ts";
export * from "./idle.ts";
export { committedBytes } from "./ledger.ts";
export { type Leadership } from "./orders.ts";
export * from "./placement.ts";
export { type Proposal } from "./proposals.ts";
export { type Status } from "./status.ts";
export * from "./store_gate.ts";
export * from "./types.ts";
