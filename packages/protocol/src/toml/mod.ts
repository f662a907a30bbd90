/**
 * Decodes TOML files against a schema. All problems of a file are reported at
 * once.
 *
 * @module
 */
export * from "./decode.ts";
export * from "./finding.ts";
