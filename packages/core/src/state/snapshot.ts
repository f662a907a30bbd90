import type * as protocol from "@ebonypath/protocol";
import type * as apiKeys from "./api_keys.ts";
import type * as audit from "./audit.ts";
import type * as changeResults from "./change_results.ts";
import type * as claims from "./claims.ts";
import type * as deferred from "./deferred_request.ts";
import type * as grantablePools from "./grantable_pools.ts";
import type * as replicas from "./replicas.ts";
import type * as versions from "./versions.ts";

/** Version of the snapshot format; increased with each change of the format. */
const FORMAT_VERSION = 1;

/** Serialisable form of the whole replicated state. */
export interface Snapshot {
  readonly index: number;
  readonly timeMs: number;
  readonly versions: readonly versions.ConfigurationVersion[];
  readonly keys: apiKeys.ApiKeysSnapshot;
  readonly failureDomains: readonly string[];
  readonly quarantines: readonly protocol.state.Quarantine[];
  readonly replicas: readonly replicas.Replica[];
  readonly claims: readonly claims.Claim[];
  readonly deferred: readonly deferred.DeferredRequest[];
  readonly lostHosts: readonly string[];
  /** Absent in snapshots of builds that didn't track grantable pools. */
  readonly grantable?: grantablePools.GrantablePoolsSnapshot | undefined;
  readonly changes: readonly changeResults.RecordedChange[];
  readonly audit: readonly audit.AuditEntry[];
}

/** Serialises a snapshot to JSON. */
export function render(snapshot: Snapshot): string {
  return JSON.stringify({ format: FORMAT_VERSION, ...snapshot });
}

/** Parses a snapshot; throws if it has another format version. */
export function parse(text: string): Snapshot {
  const { format, ...snapshot } = JSON.parse(text) as Snapshot & {
    format: number;
  };
  if (format !== FORMAT_VERSION) {
    throw new TypeError(
      `unsupported snapshot format ${format}, expected ${FORMAT_VERSION}`,
    );
  }
  return snapshot;
}
