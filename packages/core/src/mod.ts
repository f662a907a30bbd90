/**
 * Deterministic logic of Ebonypath: it does no I/O, sets no timers and reads no
 * clock.
 *
 * @module
 */
export * as clients from "./clients/mod.ts";
export * as deferred from "./deferred/mod.ts";
export * as duties from "./duties/mod.ts";
export * as gateway from "./gateway/mod.ts";
export * as limits from "./limits/mod.ts";
export * as placement from "./placement/mod.ts";
export * as queue from "./queue/mod.ts";
export * as ramp from "./ramp/mod.ts";
export * as replication from "./replication/mod.ts";
export * as routing from "./routing/mod.ts";
export * as state from "./state/mod.ts";
export * as suspicion from "./suspicion/mod.ts";
