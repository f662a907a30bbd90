/**
 * Decoding of TOML files against a schema, with every problem of a file
 * reported at once.
 *
 * @module
 */
export * from "./decode.ts";
export * from "./finding.ts";
