import * as clusterSnapshot from "./cluster_snapshot.ts";
import type * as loadTimeEstimator from "./load_time_estimator.ts";
import * as announcedServers from "./announced_servers.ts";

/** Current capacity of the backend servers for one target. */
export interface Capacity {
  /** Whether at least one usable server has the target loaded. */
  readonly loaded: boolean;
  /** Requests that these servers can accept beyond those running or queued. */
  readonly spare: number;
  /** Sum of the concurrency limits of these servers. */
  readonly concurrency: number;
  /** Expected time to load the target on the fastest server, in ms. */
  readonly loadMs: number;
}

/** Sums up the capacity for a model, an adapter or a plain service. */
export function capacityOf(
  snapshot: clusterSnapshot.ClusterSnapshot,
  loadTimes: loadTimeEstimator.LoadTimeEstimator,
  target: string,
): Capacity {
  const announcements = readyServers(snapshot, target)
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
    loadMs: expectedLoadMs(snapshot, loadTimes, target),
  };
}

/** Usable servers that can run requests for the target without a load. */
function readyServers(
  snapshot: clusterSnapshot.ClusterSnapshot,
  target: string,
): announcedServers.AnnouncedServer[] {
  // Only plain services have a name without a slash.
  if (!target.includes("/")) {
    return snapshot.servers().filter((server) =>
      server.announcement.kind === "plain" &&
      snapshot.acceptsReplicas(server) &&
      announcedServers.isFresh(server, snapshot.nowMs) &&
      clusterSnapshot.servesService(server.announcement, target)
    );
  }
  return snapshot.replicasOf(target)
    .filter((placed) =>
      placed.status.kind === "loaded" && snapshot.isLive(placed)
    )
    .flatMap(({ server }) => server ?? []);
}

/** Expected load time of a model, including its adapter if one is named. */
function expectedLoadMs(
  snapshot: clusterSnapshot.ClusterSnapshot,
  loadTimes: loadTimeEstimator.LoadTimeEstimator,
  target: string,
): number {
  const resolved = snapshot.input.catalogue.resolveModel(target);
  if (resolved === undefined) return 0;
  const { base, model, adapter } = resolved;
  const adapterMs = adapter === undefined ? 0 : loadTimes.adapterLoadMs();
  if (readyServers(snapshot, base).length > 0) return adapterMs;
  const times = snapshot.usableServers.map((server) =>
    loadTimes.modelLoadMs(
      announcedServers.weightSourceOf(server, base, model.version),
      model.bytes,
    )
  );
  const fromStoreMs = loadTimes.modelLoadMs("store", model.bytes);
  return adapterMs + Math.min(fromStoreMs, ...times);
}
