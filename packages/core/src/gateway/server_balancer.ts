import { rank } from "../routing/rendezvous.ts";

/** A server with the utilization that a balancer compares. */
export type BalancedServer = {
  readonly id: string;
  /** Requests in flight per slot. */
  readonly utilization: number;
};

/**
 * Selects a server by rendezvous hashing among those whose utilization is close
 * to the lowest one. All hosts select the same server for a key as long as its
 * utilization allows it, without telling each other, so that a prompt prefix is
 * kept on few servers. A server that joins or leaves moves only its own keys.
 *
 * Answers many hosts with few requests each and outdated utilizations: the least
 * utilized server alone would get the requests of all hosts until they hear of
 * it.
 *
 * @param tolerance by how much the utilization may exceed the lowest one
 *
 * @example
 * ```ts
 * selectBalanced(servers, "prefix 1a2b", 0.15)?.id;
 * ```
 */
export function selectBalanced<Server extends BalancedServer>(
  servers: readonly Server[],
  key: string,
  tolerance: number,
): Server | undefined {
  const lowest = Math.min(...servers.map(({ utilization }) => utilization));
  const candidates = servers.filter(({ utilization }) =>
    utilization <= lowest + tolerance
  );
  return rank(key, candidates, ({ id }) => id)[0];
}
