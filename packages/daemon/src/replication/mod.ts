/**
 * Runs one replica of the replicated log: storage, timers and transport.
 *
 * @module
 */

export * from "./driver.ts";
export * from "./errors.ts";
export * from "./bootstrap.ts";
export * from "./leadership_transfer.ts";
export * from "./transport.ts";
export * from "./types.ts";
