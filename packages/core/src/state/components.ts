import * as apiKeys from "./api_keys.ts";
import * as audit from "./audit.ts";
import * as changeResults from "./change_results.ts";
import * as claims from "./claims.ts";
import * as deferred from "./deferred_requests.ts";
import * as grantablePools from "./grantable_pools.ts";
import * as lostHosts from "./lost_hosts.ts";
import * as quarantines from "./quarantines.ts";
import * as replicas from "./replicas.ts";
import type * as snapshot from "./snapshot.ts";
import type * as types from "./types.ts";
import * as versions from "./versions.ts";
import * as withdrawnFailureDomains from "./withdrawn_failure_domains.ts";

/** Components of the replicated state, one for each kind of data. */
export interface StateComponents {
  readonly versions: versions.Versions;
  readonly keys: apiKeys.ApiKeys;
  readonly failureDomains: withdrawnFailureDomains.WithdrawnFailureDomains;
  readonly quarantines: quarantines.Quarantines;
  readonly replicas: replicas.Replicas;
  readonly claims: claims.Claims;
  readonly deferred: deferred.DeferredRequests;
  readonly lostHosts: lostHosts.LostHosts;
  readonly grantable: grantablePools.GrantablePoolRegistry;
  readonly changes: changeResults.ChangeResults;
  readonly audit: audit.AuditTrail;
}

/** Creates empty components, or restores them from a snapshot. */
export function create(
  limits: types.Limits,
  saved?: snapshot.Snapshot,
): StateComponents {
  return {
    versions: new versions.Versions(limits, saved?.versions),
    keys: new apiKeys.ApiKeys(limits, saved?.keys),
    failureDomains: new withdrawnFailureDomains.WithdrawnFailureDomains(
      limits,
      saved?.failureDomains,
    ),
    quarantines: new quarantines.Quarantines(limits, saved?.quarantines),
    replicas: new replicas.Replicas(limits, saved?.replicas),
    claims: new claims.Claims(limits, saved?.claims),
    deferred: new deferred.DeferredRequests(limits, saved?.deferred),
    lostHosts: new lostHosts.LostHosts(limits, saved?.lostHosts),
    grantable: new grantablePools.GrantablePoolRegistry(
      limits,
      saved?.grantable,
    ),
    changes: new changeResults.ChangeResults(limits, saved?.changes),
    audit: new audit.AuditTrail(limits, saved?.audit),
  };
}

/** Collects the snapshots of all components. */
export function toSnapshot(
  components: StateComponents,
  position: types.LogPosition,
): snapshot.Snapshot {
  return {
    index: position.index,
    timeMs: position.timeMs,
    versions: components.versions.toSnapshot(),
    keys: components.keys.toSnapshot(),
    failureDomains: components.failureDomains.list(),
    quarantines: components.quarantines.list(),
    replicas: components.replicas.list(),
    claims: components.claims.toSnapshot(),
    deferred: components.deferred.toSnapshot(),
    lostHosts: components.lostHosts.toSnapshot(),
    grantable: components.grantable.toSnapshot(),
    changes: components.changes.toSnapshot(),
    audit: components.audit.toSnapshot(),
  };
}
