/**
 * Choice among the servers that have room for a request.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import type * as host from "../host/mod.ts";
import type * as waiting from "./waiters.ts";

/** What the choice depends on besides the servers. */
export interface SelectionContext {
  readonly state: Pick<host.FleetState, "servers">;
  readonly shares: Pick<core.limits.ShareHolder, "runningOn">;
  /** Where prefixes were sent. */
  readonly hints: core.routing.PrefixHints;
  /** Servers that fail for this host. */
  readonly outliers: core.routing.OutlierDetector;
}

/**
 * Chooses a server by the prefix of the prompt, or by load.
 *
 * @param free Servers with a slot for the request.
 *
 * @example
 * ```ts
 * const server = chooseServer(waiter, free, context, performance.now());
 * ```
 */
export function selectServer(
  { work, tried }: waiting.PlacementRequest,
  free: readonly protocol.control.ServerStatus[],
  { hints, outliers, shares, state }: SelectionContext,
  now: number,
): protocol.control.ServerStatus | undefined {
  const { affinity } = work;
  const candidates = free.map((server) => ({
    server: server.id,
    failureDomain: server.failureDomain,
    inFlight: shares.runningOn(protocol.control.slotPool(server)),
    queued: server.queued,
    limit: server.limit,
  }));
  const choice = core.routing.selectServer({
    candidates: outliers.withoutEjected(candidates, now),
    ...(affinity === null ? {} : {
      prefixKey: affinity,
      serversWithPrefix: hints.serversWith(affinity, now),
    }),
    triedDomains: domainsOf(tried.ids, state),
    random: Math.random,
  });
  return free.find((server) => server.id === choice?.server);
}

function domainsOf(
  servers: ReadonlySet<string>,
  state: Pick<host.FleetState, "servers">,
): Set<string> {
  const domains = [...servers]
    .map((id) => state.servers.get(id)?.failureDomain)
    .filter((domain) => domain !== undefined);
  return new Set(domains);
}
