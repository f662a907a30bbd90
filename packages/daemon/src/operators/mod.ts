/**
 * HTTP interface for operators, with authentication and authorization.
 *
 * @module
 */
export * from "./control_access.ts";
export * from "./handler.ts";
