/**
 * Control hosts of a gateway fleet; they keep its replicated state.
 *
 * @module
 */
export * from "./control_host.ts";
export type * from "./duty_types.ts";
export * from "./types.ts";
