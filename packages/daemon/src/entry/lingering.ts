import * as protocol from "@ebonypath/protocol";
import type * as dispatcher from "./dispatcher.ts";

/**
 * Counts the running requests whose server no longer offers their target. Their
 * replica is due to be unloaded, which is delayed until they have ended.
 */
export function countLingering(
  running: Iterable<
    Pick<dispatcher.RunningRequest, "server"> & {
      readonly work: { readonly target: string };
    }
  >,
  servers: ReadonlyMap<string, protocol.control.ServerStatus>,
): protocol.control.LingeringRequests[] {
  const counts = new Map<string, protocol.control.LingeringRequests>();
  for (const { work: { target }, server: { id, incarnation } } of running) {
    const status = servers.get(id);
    const isOffered = status?.incarnation === incarnation &&
      protocol.control.serves(status, target);
    if (isOffered) continue;
    const key = JSON.stringify([id, incarnation, target]);
    const count = (counts.get(key)?.running ?? 0) + 1;
    counts.set(key, { server: id, incarnation, target, running: count });
  }
  return [...counts.values()];
}
