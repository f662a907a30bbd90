/**
 * Fakes, fault injection and process control for tests and benchmarks.
 *
 * @module
 */
export * as clock from "./clock.ts";
export * as crowd from "./crowd.ts";
export * as fakeBackend from "./fake_backend/mod.ts";
export * as faultProxy from "./fault_proxy/mod.ts";
export * as freePort from "./free_port.ts";
export * as launcher from "./launcher/mod.ts";
export * as pagedEngine from "./paged_engine/mod.ts";
export * as wait from "./wait.ts";
