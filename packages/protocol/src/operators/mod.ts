/**
 * Requests and responses of the operator API.
 *
 * @module
 */
export * from "./responses.ts";
export * from "./requests.ts";
export * from "./explanation.ts";
