/**
 * Selection among the servers that have a free slot for a request.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import type * as host from "../host/mod.ts";
import type * as waiting from "./waiters.ts";

/** State that the selection depends on besides the available servers. */
export interface SelectionContext {
  readonly state: Pick<host.FleetState, "servers">;
  readonly shares: Pick<core.limits.HostShares, "runningOn">;
  /** Servers that recently received each prompt prefix. */
  readonly hints: core.routing.PrefixHints;
  /** Ejects servers that fail requests of this host. */
  readonly outliers: core.routing.OutlierDetector;
}

/**
 * Selects a server by prompt prefix affinity, or else by load.
 *
 * @param available Servers with a free slot for the request.
 *
 * @example
 * ```ts
 * const server = selectServer(waiter, available, context, performance.now());
 * ```
 */
export function selectServer(
  { work, tried }: waiting.PlacementRequest,
  available: readonly protocol.control.ServerStatus[],
  { hints, outliers, shares, state }: SelectionContext,
  now: number,
): protocol.control.ServerStatus | undefined {
  const { affinity } = work;
  const candidates = available.map((server) => ({
    server: server.id,
    failureDomain: server.failureDomain,
    inFlight: shares.runningOn(protocol.control.slotPoolName(server)),
    queued: server.queued,
    limit: server.limit,
  }));
  const selected = core.routing.selectServer({
    candidates: outliers.withoutEjected(candidates, now),
    ...(affinity === null ? {} : {
      prefixKey: affinity,
      serversWithPrefix: hints.serversWith(affinity, now),
    }),
    triedDomains: failureDomainsOf(tried.ids, state),
    random: Math.random,
  });
  return available.find((server) => server.id === selected?.server);
}

function failureDomainsOf(
  servers: ReadonlySet<string>,
  state: Pick<host.FleetState, "servers">,
): Set<string> {
  const domains = [...servers]
    .map((id) => state.servers.get(id)?.failureDomain)
    .filter((domain) => domain !== undefined);
  return new Set(domains);
}
