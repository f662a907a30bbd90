import type * as estimates from "./estimates.ts";
import * as fleet from "./fleet.ts";
import * as scene from "./scene.ts";

/** What the fleet can do for one model, adapter or plain service now. */
export interface Capacity {
  /** Whether a usable server has it ready. */
  readonly loaded: boolean;
  /** Requests that these servers can take beyond what runs or waits there. */
  readonly spare: number;
  /** Requests that they bear at once. */
  readonly concurrency: number;
  /** Expected time to load it on its best server, in milliseconds. */
  readonly loadMs: number;
}

/** Adds up what usable servers can do for a target. */
export function capacityOf(
  seen: scene.Scene,
  known: estimates.LoadTimeEstimator,
  target: string,
): Capacity {
  const announcements = readyServers(seen, target)
    .map(({ announcement }) => announcement);
  const spare = announcements.reduce(
    (sum, item) =>
      sum + Math.max(0, item.concurrency - item.running - item.queued),
    0,
  );
  const concurrency = announcements.reduce(
    (sum, item) => sum + item.concurrency,
    0,
  );
  return {
    loaded: announcements.length > 0,
    spare,
    concurrency,
    loadMs: loadMs(seen, known, target),
  };
}

/** Usable servers that have a model, an adapter or a plain service ready. */
function readyServers(
  seen: scene.Scene,
  target: string,
): fleet.AnnouncedServer[] {
  if (!target.includes("/")) {
    return seen.servers().filter((server) =>
      server.announcement.kind === "plain" && seen.takesWork(server) &&
      fleet.isFresh(server, seen.nowMs) &&
      scene.serves(server.announcement, target)
    );
  }
  return seen.of(target)
    .filter((placed) => placed.status.kind === "loaded" && seen.isLive(placed))
    .flatMap(({ server }) => server ?? []);
}

/** Expected load time of a model, with that of its adapter. */
function loadMs(
  seen: scene.Scene,
  known: estimates.LoadTimeEstimator,
  target: string,
): number {
  const resolved = seen.facts.catalogue.model(target);
  if (resolved === undefined) return 0;
  const { base, model, adapter } = resolved;
  const adapterMs = adapter === undefined ? 0 : known.adapterLoadMs();
  if (readyServers(seen, base).length > 0) return adapterMs;
  const times = seen.usable.map((server) =>
    known.modelLoadMs(fleet.placeOf(server, base, model.version), model.bytes)
  );
  const fromStoreMs = known.modelLoadMs("store", model.bytes);
  return adapterMs + Math.min(fromStoreMs, ...times);
}
