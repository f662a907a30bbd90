import type * as context from "./context.ts";
import * as eviction from "./eviction.ts";
import * as fleet from "./fleet.ts";
import * as scene from "./scene.ts";

/** Time that an eviction adds to a load, in milliseconds. */
const EVICTION_MS = 500;
/** Expected wait at a server whose requests fill its limit. */
const QUEUE_MS = 1_000;

/** What has to be placed. */
export interface Wanted {
  readonly model: string;
  readonly version: string;
  readonly bytes: number;
  readonly kvBytes: number;
  readonly service: string;
  readonly mayEvict: boolean;
}

/** A server for a replica, and what has to leave it first. */
export interface Choice {
  readonly server: fleet.AnnouncedServer;
  readonly evicted: readonly scene.Placed[];
  /** Whether the memory is free now. */
  readonly fits: boolean;
  /** Expected time to the first token, in milliseconds. */
  readonly costMs: number;
}

/**
 * Chooses the server with the shortest expected time to the first token:
 * load time by cache place, wait for the store and for loads before it, and
 * the server's queue. Failure domains without a replica go first.
 */
export function choose(
  round: context.Context,
  wanted: Wanted,
  candidates: readonly fleet.AnnouncedServer[],
): Choice | undefined {
  const domains = failureDomainsOf(round, wanted.model);
  const rank = (choice: Choice) =>
    domains.has(choice.server.announcement.failureDomain) ? 1 : 0;
  return candidates
    .filter((server) => isCandidate(round, wanted, server))
    .flatMap((server) => choiceOn(round, wanted, server) ?? [])
    .sort((a, b) => rank(a) - rank(b) || a.costMs - b.costMs)[0];
}

/** Bytes of a server that are free and not reserved for other models. */
export function availableBytes(
  round: context.Context,
  server: fleet.AnnouncedServer,
  model: string,
): number {
  const { id, incarnation } = server.announcement;
  const reserved = [...round.memory.reservations.values()]
    .filter((item) =>
      item.model !== model && item.server === id &&
      item.incarnation === incarnation
    )
    .reduce((sum, item) => sum + item.bytes, 0);
  return round.scene.freeBytes(server) - reserved;
}

function failureDomainsOf(
  round: context.Context,
  model: string,
): Set<string> {
  const live = round.scene.of(model)
    .filter((placed) => round.scene.isLive(placed))
    .map(({ replica }) => replica.failureDomain);
  const proposed = round.scene.proposed(model)
    .map(({ failureDomain }) => failureDomain);
  return new Set([...live, ...proposed]);
}

function isCandidate(
  round: context.Context,
  wanted: Wanted,
  server: fleet.AnnouncedServer,
): boolean {
  const { announcement } = server;
  return scene.serves(announcement, wanted.service) &&
    !round.scene.holds(server, wanted.model, wanted.version) &&
    !round.memory.backoff.isPaused(
      announcement.id,
      wanted.model,
      round.nowMs,
    );
}

function choiceOn(
  round: context.Context,
  wanted: Wanted,
  server: fleet.AnnouncedServer,
): Choice | undefined {
  const size = wanted.bytes + wanted.kvBytes;
  const missing = size - availableBytes(round, server, wanted.model);
  const costMs = firstTokenMs(round, wanted, server);
  if (missing <= 0) return { server, evicted: [], fits: true, costMs };
  const short = missing - eviction.unloadingBytes(round, server);
  const later = { server, fits: false, costMs: costMs + EVICTION_MS };
  if (short <= 0) return { ...later, evicted: [] };
  if (!wanted.mayEvict) return undefined;
  const evicted = eviction.choose(round, server, short);
  return evicted === undefined ? undefined : { ...later, evicted };
}

function firstTokenMs(
  round: context.Context,
  wanted: Wanted,
  server: fleet.AnnouncedServer,
): number {
  const { model, version, bytes } = wanted;
  const loadMs = round.loadMs(server, model, version, bytes);
  const isStore = fleet.placeOf(server, model, version) === "store";
  const storeMs = isStore
    ? round.memory.gate.expectedWaitMs(round.storeLoads(), loadMs, round.nowMs)
    : 0;
  const { running, queued, concurrency } = server.announcement;
  const queueMs = QUEUE_MS * (running + queued) / Math.max(1, concurrency);
  return loadMs + storeMs + round.busyMs(server) + queueMs;
}
