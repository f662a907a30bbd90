/**
 * Decision logic of the gateway, without input or output: request routing, rate
 * limits, the server registry, model loads and control host membership.
 *
 * @module
 */
export * from "./configuration_rollout.ts";
export * from "./event_sequence.ts";
export * from "./freshness.ts";
export * from "./demand_tracker.ts";
export * from "./membership_change.ts";
export { mergeAdapters } from "./load_demand.ts";
export * from "./model_copies.ts";
export * from "./kept_slots.ts";
export * from "./host_load.ts";
export * from "./load_forecast.ts";
export * from "./load_planner.ts";
export { MAX_UNSERVED_MS } from "./model_demand.ts";
export * from "./load_planner_types.ts";
export * from "./capacity.ts";
export * from "./server_availability.ts";
export * from "./server_balancer.ts";
export * from "./server_registry.ts";
export * from "./removal_notices.ts";
export * from "./response_verdict.ts";
export * from "./route_table.ts";
export * from "./state.ts";
export * from "./state_quorum.ts";
export * from "./stream_origins.ts";
export * from "./stated_times.ts";
export * from "./store_concurrency.ts";
export * from "./store_share.ts";
export * from "./suspension_detector.ts";
export * from "./borrowed_units.ts";
export * from "./lending_pool.ts";
export * from "./limited_workspaces.ts";
export * from "./own_streams.ts";
export * from "./rate_part.ts";
export * from "./queue_order.ts";
export * from "./rate_queue.ts";
export * from "./read_pacer.ts";
export * from "./reading_estimate.ts";
export * from "./return_time.ts";
export * from "./server_choice.ts";
export * from "./server_paces.ts";
export * from "./shared_limits.ts";
export * from "./tolerated_rate.ts";
export * from "./unserved_models.ts";
export * from "./usage_tracker.ts";
export * from "./version_activity.ts";
export * from "./shared_rate_limiter.ts";
