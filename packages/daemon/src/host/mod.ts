/**
 * What every host keeps to follow the fleet: its view, its exchanges with the
 * leader and its proposals.
 *
 * @module
 */
export type { Held } from "./announcement_book.ts";
export * from "./announcement_relay.ts";
export * from "./exchanger.ts";
export * from "./fleet_state.ts";
export * from "./freshness.ts";
export * from "./persistent_proposals.ts";
export * from "./proposer.ts";
