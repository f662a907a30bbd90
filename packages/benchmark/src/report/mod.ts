/**
 * Reports with plots.
 *
 * @module
 */
export * from "./chart.ts";
export * from "./page.ts";
