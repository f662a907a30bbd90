/**
 * The feed of changes from the leader to every host.
 *
 * @module
 */
export * from "./change_log.ts";
export * from "./follower.ts";
export * from "./publisher.ts";
