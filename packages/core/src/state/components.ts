import * as audit from "./audit.ts";
import * as changeLog from "./change_results.ts";
import * as claims from "./claims.ts";
import * as deferred from "./deferred_requests.ts";
import * as failureDomains from "./withdrawn_failure_domains.ts";
import * as grantablePools from "./grantable_pools.ts";
import * as keys from "./api_keys.ts";
import * as lostHosts from "./lost_hosts.ts";
import * as quarantines from "./quarantines.ts";
import * as replicas from "./replicas.ts";
import type * as snapshot from "./snapshot.ts";
import type * as types from "./types.ts";
import * as versions from "./versions.ts";

/** The parts that the replicated state consists of. */
export interface Parts {
  readonly versions: versions.Versions;
  readonly keys: keys.Keys;
  readonly failureDomains: failureDomains.FailureDomains;
  readonly quarantines: quarantines.Quarantines;
  readonly replicas: replicas.Replicas;
  readonly claims: claims.Claims;
  readonly deferred: deferred.DeferredRequests;
  readonly lostHosts: lostHosts.LostHosts;
  readonly grantable: grantablePools.GrantableRegister;
  readonly changes: changeLog.ChangeLog;
  readonly audit: audit.AuditTrail;
}

/** Makes empty parts, or those of a snapshot. */
export function create(
  limits: types.Limits,
  saved?: snapshot.Snapshot,
): Parts {
  return {
    versions: new versions.Versions(limits, saved?.versions),
    keys: new keys.Keys(limits, saved?.keys),
    failureDomains: new failureDomains.FailureDomains(
      limits,
      saved?.failureDomains,
    ),
    quarantines: new quarantines.Quarantines(limits, saved?.quarantines),
    replicas: new replicas.Replicas(limits, saved?.replicas),
    claims: new claims.Claims(limits, saved?.claims),
    deferred: new deferred.DeferredRequests(limits, saved?.deferred),
    lostHosts: new lostHosts.LostHosts(limits, saved?.lostHosts),
    grantable: new grantablePools.GrantableRegister(limits, saved?.grantable),
    changes: new changeLog.ChangeLog(limits, saved?.changes),
    audit: new audit.AuditTrail(limits, saved?.audit),
  };
}

/** Collects what a snapshot keeps. */
export function toSnapshot(
  parts: Parts,
  position: types.LogPosition,
): snapshot.Snapshot {
  return {
    index: position.index,
    timeMs: position.timeMs,
    versions: parts.versions.toSnapshot(),
    keys: parts.keys.toSnapshot(),
    failureDomains: parts.failureDomains.list(),
    quarantines: parts.quarantines.list(),
    replicas: parts.replicas.list(),
    claims: parts.claims.toSnapshot(),
    deferred: parts.deferred.toSnapshot(),
    lostHosts: parts.lostHosts.toSnapshot(),
    grantable: parts.grantable.toSnapshot(),
    changes: parts.changes.toSnapshot(),
    audit: parts.audit.toSnapshot(),
  };
}
