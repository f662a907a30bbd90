/**
 * Parses the `ebonypath.toml` files stored next to the code of services, and
 * merges them into one configuration.
 *
 * @module
 */
export * from "./merge.ts";
export * from "./parse.ts";
export * from "./types.ts";
