/**
 * RPC and streams between the hosts of a fleet.
 *
 * @module
 */
export * from "./body_encoding.ts";
export * from "./errors.ts";
export * from "./leader_client.ts";
export * from "./leader_lookup.ts";
export * from "./link_options.ts";
export * from "./rpc_client.ts";
export * from "./rpc_server.ts";
