/**
 * Experiments that measure Ebonypath with real daemons and fake backend
 * servers on loopback.
 *
 * @module
 */
export * as experiments from "./experiments/mod.ts";
export * as figures from "./figures.ts";
export * as measure from "./measure/mod.ts";
export * as report from "./report/mod.ts";
export type * from "./types.ts";
