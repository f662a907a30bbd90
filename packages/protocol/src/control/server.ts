import type * as feed from "./feed.ts";

/** One start of a backend server. */
interface ServerProcess {
  readonly id: string;
  readonly incarnation: string;
}

/**
 * Name of the pool of a server's slots, for the leader and for the hosts: each
 * start of a server has its own.
 *
 * @example
 * ```ts
 * slotPoolName({ id: "engine-1", incarnation: "4f2a" }); // "engine-1/4f2a"
 * ```
 */
export function slotPoolName(server: ServerProcess): string {
  return `${server.id}/${server.incarnation}`;
}

/**
 * Whether a server has a target ready: a model or adapter that is loaded, or a
 * plain service that it offers.
 *
 * @example
 * ```ts
 * serves(server, "advice/last:wool");
 * serves(server, "orders");
 * ```
 */
export function serves(server: feed.ServerStatus, target: string): boolean {
  return target.includes("/")
    ? server.ready.includes(target)
    : server.kind === "plain" && server.services.includes(target);
}
