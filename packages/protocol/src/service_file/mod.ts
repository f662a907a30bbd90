/**
 * The `ebonypath.toml` files that stand beside the code of services, and
 * their merge into one configuration.
 *
 * @module
 */
export * from "./merge.ts";
export * from "./parse.ts";
export * from "./types.ts";
