/**
 * Loading of the settings file and of the secrets that it names.
 *
 * @module
 */
export * from "./certificate.ts";
export * from "./load.ts";
export * from "./secret.ts";
