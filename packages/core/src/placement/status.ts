import type * as state from "../state/mod.ts";
import * as fleet from "./fleet.ts";
import * as orders from "./orders.ts";
import * as tracks from "./track.ts";
import * as types from "./types.ts";

/** Time within which a load of an earlier leader is expected to complete. */
const INHERITED_LOAD_MS = 5_000;

/** How a committed decision stands on its server. */
export type ReplicaStatus =
  /** The incarnation has ended, and all that it held with it. */
  | { readonly kind: "gone" }
  /** The server does not announce itself. */
  | { readonly kind: "silent"; readonly forgettable: boolean }
  /** Decided; no load was ordered. */
  | { readonly kind: "pending" }
  /** A load is ordered. */
  | { readonly kind: "loading" }
  /**
   * A load may have taken effect, or may still do so. `promising` means that
   * an earlier leader is likely to have ordered it shortly before.
   */
  | { readonly kind: "unknown"; readonly promising: boolean }
  /** It is in memory. `settled` means that no load order is under way. */
  | { readonly kind: "loaded"; readonly settled: boolean }
  /** It is certainly not in memory, and will not be. */
  | {
    readonly kind: "absent";
    readonly reason: "unloaded" | "refused" | "turned-cold";
  };

/** Derives the status of a replica, taking in the newest announcement. */
export function statusOf(
  replica: state.Replica,
  servers: fleet.ServerRegistry,
  known: orders.Orders,
  nowMs: number,
): ReplicaStatus {
  if (servers.isReplaced(replica.server, replica.incarnation)) {
    return { kind: "gone" };
  }
  const server = servers.incarnation(replica.server, replica.incarnation);
  if (server === undefined) return silent(nowMs - known.sinceMs);
  known.observe(replica, server, nowMs);
  const track = known.track(replica);
  if (track.answeredUnloaded) return { kind: "absent", reason: "unloaded" };
  const ageMs = nowMs - server.lastSeenMs;
  if (server.isDown || ageMs > types.SILENCE_TIMEOUT_MS) return silent(ageMs);
  if (isListed(replica, server, track, known)) {
    const settled = track.settledMs !== undefined && nowMs >= track.settledMs;
    return { kind: "loaded", settled };
  }
  return unlistedStatus(replica, server, track, known, nowMs);
}

/** Whether the server lists the replica, and not one that was before it. */
function isListed(
  replica: state.Replica,
  server: fleet.AnnouncedServer,
  track: tracks.Track,
  known: orders.Orders,
): boolean {
  const { model, version } = replica;
  if (!fleet.lists(server, model, version)) return false;
  if (track.ordered || known.isInherited(replica)) return true;
  const name = types.modelVersionKey(model, version);
  return !known.forgottenOn(server).has(name);
}

function silent(ageMs: number): ReplicaStatus {
  return { kind: "silent", forgettable: ageMs > types.FORGET_SILENT_AFTER_MS };
}

/** Status of a replica that the newest announcement does not list. */
function unlistedStatus(
  replica: state.Replica,
  server: fleet.AnnouncedServer,
  track: tracks.Track,
  known: orders.Orders,
  nowMs: number,
): ReplicaStatus {
  const outstanding = track.outstanding;
  if (outstanding !== undefined && tracks.isLoad(outstanding.kind)) {
    if (!outstanding.lost) return { kind: "loading" };
    return { kind: "unknown", promising: false };
  }
  if (!track.ordered && !known.isInherited(replica)) {
    return { kind: "pending" };
  }
  if (isAbsent(server, track)) {
    return { kind: "absent", reason: reasonOf(replica, track) };
  }
  if (track.answeredLoaded) return { kind: "loaded", settled: true };
  const leadingMs = nowMs - known.sinceMs;
  const promising = !track.ordered && leadingMs < INHERITED_LOAD_MS;
  return { kind: "unknown", promising };
}

/** Whether the announcement proves that the replica is not in memory. */
function isAbsent(server: fleet.AnnouncedServer, track: tracks.Track): boolean {
  if (track.settledMs === undefined) return false;
  if (track.refused) return true;
  return server.lastSeenMs >= track.settledMs + types.MAX_ANNOUNCEMENT_DELAY_MS;
}

function reasonOf(
  replica: state.Replica,
  track: tracks.Track,
): "unloaded" | "refused" | "turned-cold" {
  if (replica.unloadIndex !== undefined) return "unloaded";
  const wasLoaded = track.answeredLoaded || track.proven;
  return wasLoaded ? "turned-cold" : "refused";
}
