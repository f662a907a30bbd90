/**
 * The operators' interface: authentication, rights and HTTP.
 *
 * @module
 */
export * from "./control_access.ts";
export * from "./handler.ts";
