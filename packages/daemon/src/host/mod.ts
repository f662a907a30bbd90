/**
 * What every host keeps to follow the fleet: its view, its exchanges with the
 * leader and its proposals.
 *
 * @module
 */
export type { BufferedAnnouncement } from "./announcement_buffer.ts";
export * from "./announcement_relay.ts";
export * from "./exchanger.ts";
export * from "./fleet_state.ts";
export * from "./freshness.ts";
export * from "./retrying_proposer.ts";
export * from "./proposer.ts";
