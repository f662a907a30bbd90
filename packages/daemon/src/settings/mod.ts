/**
 * Loads the settings file with the secrets and certificates that it refers to.
 *
 * @module
 */
export * from "./certificate.ts";
export * from "./load.ts";
export * from "./secret.ts";
