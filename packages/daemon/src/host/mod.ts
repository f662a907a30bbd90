/**
 * Communication of a host with the leader: its copy of the fleet state, its
 * exchanges, forwarded announcements and proposals.
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
