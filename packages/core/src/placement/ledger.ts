import type * as protocol from "@ebonypath/protocol";
import type * as state from "../state/mod.ts";
import type * as fleet from "./fleet.ts";
import * as types from "./types.ts";

/** Bytes that a replica takes, with its KV cache. */
export function sizeOf(
  replica: Pick<types.ReplicaSpec, "bytes" | "kvBytes">,
): number {
  return replica.bytes + replica.kvBytes;
}

/**
 * Accelerator memory of one server incarnation that is spoken for.
 *
 * Every committed decision counts, whether it is loaded, loading, unloading
 * or of unknown outcome, until it is forgotten; so do proposals that are not
 * committed yet, and what the server holds without a decision. A replica
 * counts with what the server reports if that is more. `gone` names what the
 * server has unloaded since its newest announcement.
 *
 * @example
 * ```ts
 * const free = server.announcement.memoryBytes -
 *   committedBytes(server, replicas, proposals);
 * ```
 */
export function committedBytes(
  server: fleet.AnnouncedServer,
  replicas: readonly state.Replica[],
  proposals: readonly types.ReplicaSpec[],
  gone: ReadonlySet<string> = new Set(),
): number {
  const reported = reportedBytes(server.announcement);
  let bytes = 0;
  for (const replica of [...replicas, ...proposals]) {
    const name = types.modelVersionKey(replica.model, replica.version);
    bytes += Math.max(sizeOf(replica), reported.get(name) ?? 0);
    reported.delete(name);
  }
  for (const [name, undecided] of reported) {
    if (!gone.has(name)) bytes += undecided;
  }
  return bytes;
}

function reportedBytes(
  announcement: protocol.backend.Announcement,
): Map<string, number> {
  return new Map(
    announcement.loaded.map((item) => [
      types.modelVersionKey(item.model, item.version),
      item.bytes,
    ]),
  );
}
