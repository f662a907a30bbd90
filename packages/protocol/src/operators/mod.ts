/**
 * Requests and answers of the operators' interface.
 *
 * @module
 */
export * from "./answer.ts";
export * from "./request.ts";
