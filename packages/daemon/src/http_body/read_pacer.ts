import * as core from "@ebonypath/core";

/**
 * Paces the reads of all bodies in small chunks, of clients and of servers: they
 * share the event loop, and so the part of it that these may take.
 *
 * @example
 * ```ts
 * const delayMs = readPacer.delayMs({ chunks, tookMs }, performance.now());
 * ```
 */
export const readPacer = new core.gateway.ReadPacer();
