/**
 * Drives the replicated log: disk, timers and links of one replica.
 *
 * @module
 */

export * from "./driver.ts";
export * from "./errors.ts";
export * from "./formation.ts";
export * from "./hand_over.ts";
export * from "./transport.ts";
export * from "./types.ts";
