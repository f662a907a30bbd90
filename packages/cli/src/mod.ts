/**
 * The operators' command line.
 *
 * @module
 */
export * as client from "./client/mod.ts";
export * as exitCode from "./exit_code.ts";
export * as failure from "./failure.ts";
export * as files from "./files/mod.ts";
export * as program from "./program.ts";
