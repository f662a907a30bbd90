/**
 * Fake backend servers with fault switches.
 *
 * @module
 */
export * from "./fake_backend.ts";
export * from "./journal.ts";
export * from "./types.ts";
export * from "./weight_store.ts";
