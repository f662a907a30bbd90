/**
 * Feed that streams state changes from the leader to all hosts.
 *
 * @module
 */
export * from "./change_log.ts";
export * from "./follower.ts";
export * from "./publisher.ts";
