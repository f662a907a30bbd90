/**
 * Decisions of forwarding by host and path: routes, servers, models, rates.
 *
 * @module
 */
export * from "./demand_book.ts";
export * from "./next_change.ts";
export * from "./paging.ts";
export * from "./paging_types.ts";
export * from "./room.ts";
export * from "./roster.ts";
export * from "./route_table.ts";
export * from "./state.ts";
export * from "./suspension.ts";
export * from "./cold_limit.ts";
export * from "./usage_book.ts";
export * from "./usage_meter.ts";
