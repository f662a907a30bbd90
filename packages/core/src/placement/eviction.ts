import type * as context from "./context.ts";
import type * as fleet from "./fleet.ts";
import * as idle from "./idle.ts";
import * as ledger from "./ledger.ts";
import type * as scene from "./scene.ts";
import * as types from "./types.ts";

/** A model with its adapters, or an adapter, that may leave a server. */
interface Candidate {
  readonly placed: readonly scene.Placed[];
  readonly bytes: number;
  readonly value: number;
}

/**
 * Chooses idle replicas of a server that free at least `bytes`: those with
 * the lowest (reload time × chance of need) per byte. Models with waiting or
 * running requests are never chosen. Undefined if there are not enough.
 */
export function choose(
  round: context.Context,
  server: fleet.AnnouncedServer,
  bytes: number,
): scene.Placed[] | undefined {
  const candidates = candidatesOn(round, server)
    .sort((a, b) => a.value - b.value);
  const chosen: Candidate[] = [];
  let freed = 0;
  for (const candidate of candidates) {
    if (freed >= bytes) break;
    chosen.push(candidate);
    freed += candidate.bytes;
  }
  if (freed < bytes) return undefined;
  return withoutSpare(chosen, freed - bytes)
    .flatMap(({ placed }) => placed);
}

/** Bytes of a server that are being unloaded. */
export function unloadingBytes(
  round: context.Context,
  server: fleet.AnnouncedServer,
): number {
  return round.scene.on(server)
    .filter(({ replica }) => round.scene.isUnloading(replica))
    .reduce((sum, { replica }) => sum + ledger.sizeOf(replica), 0);
}

/** Whether a replica is in memory, and no order for it is under way. */
export function isUnloadable(
  round: context.Context,
  { replica, status }: scene.Placed,
): boolean {
  return status.kind === "loaded" && status.settled &&
    !round.scene.isUnloading(replica);
}

/** A replica with the adapters that depend on it. */
export function withAdapters(
  round: context.Context,
  server: fleet.AnnouncedServer,
  placed: scene.Placed,
): scene.Placed[] {
  const { model } = placed.replica;
  if (types.isAdapter(model)) return [placed];
  const adapters = round.scene.on(server).filter((other) =>
    other !== placed && types.isAdapter(other.replica.model) &&
    types.baseModelOf(other.replica.model) === model
  );
  return [...adapters, placed];
}

function candidatesOn(
  round: context.Context,
  server: fleet.AnnouncedServer,
): Candidate[] {
  return round.scene.on(server)
    .filter((placed) => isUnloadable(round, placed))
    .filter(({ replica }) => round.needOf(replica.model) === undefined)
    .filter(({ replica }) => !isReservedFor(round, server, replica.model))
    .map((placed) => candidateOf(round, server, placed));
}

/** A base model stays where one of its adapters is about to be placed. */
function isReservedFor(
  round: context.Context,
  server: fleet.AnnouncedServer,
  model: string,
): boolean {
  const { id } = server.announcement;
  return [...round.memory.reservations.values()].some((reservation) =>
    reservation.server === id && types.baseModelOf(reservation.model) === model
  );
}

function candidateOf(
  round: context.Context,
  server: fleet.AnnouncedServer,
  placed: scene.Placed,
): Candidate {
  const together = withAdapters(round, server, placed)
    .filter(({ replica }) => !round.scene.isUnloading(replica));
  const bytes = together.reduce(
    (sum, { replica }) => sum + ledger.sizeOf(replica),
    0,
  );
  return { placed: together, bytes, value: valueOf(round, server, placed) };
}

function valueOf(
  round: context.Context,
  server: fleet.AnnouncedServer,
  { replica }: scene.Placed,
): number {
  if (round.scene.versionOf(replica.model) !== replica.version) return -1;
  const holding = round.holdingOf(server, replica);
  return idle.retentionValue(holding, round.memory.arrivals, round.nowMs);
}

/** Leaves out what is not needed to free enough, the most valuable first. */
function withoutSpare(
  chosen: readonly Candidate[],
  spareBytes: number,
): Candidate[] {
  let spare = spareBytes;
  const kept: Candidate[] = [];
  for (const candidate of chosen.toReversed()) {
    if (candidate.bytes <= spare) spare -= candidate.bytes;
    else kept.push(candidate);
  }
  return kept.reverse();
}
