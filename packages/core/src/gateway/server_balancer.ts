/** A server with the utilization that a balancer compares. */
export type BalancedServer = {
  readonly id: string;
  /** Requests in flight per slot. */
  readonly utilization: number;
};

/** Offset basis and prime of the 32-bit FNV-1a hash. */
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

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
  let selected: Server | undefined;
  let highest = -1;
  for (const server of servers) {
    if (server.utilization > lowest + tolerance) continue;
    const weight = hash(`${key} ${server.id}`);
    if (weight <= highest) continue;
    highest = weight;
    selected = server;
  }
  return selected;
}

/** 32-bit FNV-1a hash with a final mix, as similar ids differ in few bits. */
function hash(text: string): number {
  let value = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    value = Math.imul(value ^ text.charCodeAt(index), FNV_PRIME);
  }
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35);
  return (value ^ (value >>> 16)) >>> 0;
}
