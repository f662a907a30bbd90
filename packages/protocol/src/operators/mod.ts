/**
 * Requests and answers of the operators' interface.
 *
 * @module
 */
export * from "./responses.ts";
export * from "./requests.ts";
