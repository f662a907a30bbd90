/**
 * Duties that one host at a time performs for the whole fleet: who holds them,
 * what is reported for a window of time, how many servers a failure domain is to
 * have, and when calls are made.
 *
 * @module
 */
export * from "./begun_counter.ts";
export * from "./call_schedule.ts";
export * from "./duty_state.ts";
export * from "./fleet_clock.ts";
export * from "./server_count.ts";
export * from "./usage_windows.ts";
export * from "./window_schedule.ts";
