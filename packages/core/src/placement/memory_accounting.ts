import type * as protocol from "@ebonypath/protocol";
import type * as state from "../state/mod.ts";
import type * as announcedServers from "./announced_servers.ts";
import * as types from "./types.ts";

/** Memory of a replica including its KV cache, in bytes. */
export function replicaBytes(
  replica: Pick<types.ReplicaSpec, "bytes" | "kvBytes">,
): number {
  return replica.bytes + replica.kvBytes;
}

/**
 * Committed accelerator memory of one server incarnation, in bytes.
 *
 * Every committed decision counts until it is forgotten, whether the replica
 * is loaded, loading, unloading or of unknown outcome. Proposals that are not
 * committed yet count as well, and so do models that the server announces
 * without a decision. If a server announces more bytes for a replica than were
 * decided, the announced bytes count.
 *
 * @param forgotten model versions that the newest announcement may list
 *   although they were unloaded
 * @example
 * ```ts
 * const free = server.announcement.memoryBytes -
 *   committedBytes(server, replicas, proposals);
 * ```
 */
export function committedBytes(
  server: announcedServers.AnnouncedServer,
  replicas: readonly state.Replica[],
  proposals: readonly types.ReplicaSpec[],
  forgotten: ReadonlySet<string> = new Set(),
): number {
  const announced = announcedBytes(server.announcement);
  let bytes = 0;
  for (const replica of [...replicas, ...proposals]) {
    const key = types.modelVersionKey(replica.model, replica.version);
    bytes += Math.max(replicaBytes(replica), announced.get(key) ?? 0);
    announced.delete(key);
  }
  for (const [key, undecidedBytes] of announced) {
    if (!forgotten.has(key)) bytes += undecidedBytes;
  }
  return bytes;
}

function announcedBytes(
  announcement: protocol.backend.Announcement,
): Map<string, number> {
  return new Map(
    announcement.loaded.map((item) => [
      types.modelVersionKey(item.model, item.version),
      item.bytes,
    ]),
  );
}
