/**
 * Quarantine of requests that crash backend servers.
 *
 * @module
 */
export * from "./suspicion_driver.ts";
