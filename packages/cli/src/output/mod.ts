/**
 * What commands print, for people and for programs.
 *
 * @module
 */
export * from "./output.ts";
export * from "./table.ts";
