import type * as feed from "./feed.ts";

/** Identifies one run of a backend server. */
interface ServerIncarnation {
  readonly id: string;
  readonly incarnation: string;
}

/**
 * Returns the name of the slot pool of a backend server, as used by the leader
 * and the hosts. Each incarnation of a server has a pool of its own.
 *
 * @example
 * ```ts
 * slotPoolName({ id: "engine-1", incarnation: "4f2a" }); // "engine-1/4f2a"
 * ```
 */
export function slotPoolName(server: ServerIncarnation): string {
  return `${server.id}/${server.incarnation}`;
}

/**
 * Returns whether a server can serve a target now: a model or adapter that is
 * loaded, or a plain service that the server offers.
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
