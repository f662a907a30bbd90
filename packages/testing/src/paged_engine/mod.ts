/**
 * An engine that loads and drops models by order.
 *
 * @module
 */
export * from "./engine.ts";
