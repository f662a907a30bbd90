import type * as protocol from "@ebonypath/protocol";
import type * as audit from "./audit.ts";
import type * as changeLog from "./change_results.ts";
import type * as claims from "./claims.ts";
import type * as deferred from "./deferred_request.ts";
import type * as grantablePools from "./grantable_pools.ts";
import type * as keys from "./api_keys.ts";
import type * as replicas from "./replicas.ts";
import type * as versions from "./versions.ts";

/** Layout of the text; grows when it changes. */
const FORMAT = 1;

/** Everything that a state consists of. */
export interface Snapshot {
  readonly index: number;
  readonly timeMs: number;
  readonly versions: readonly versions.ConfigurationVersion[];
  readonly keys: keys.Saved;
  readonly failureDomains: readonly string[];
  readonly quarantines: readonly protocol.state.Quarantine[];
  readonly replicas: readonly replicas.Replica[];
  readonly claims: readonly claims.Claim[];
  readonly deferred: readonly deferred.DeferredRequest[];
  readonly lostHosts: readonly string[];
  /** Absent in snapshots of early builds. */
  readonly grantable?: grantablePools.SavedGrantablePools | undefined;
  readonly changes: readonly changeLog.RememberedChange[];
  readonly audit: readonly audit.AuditEntry[];
}

/** Renders a snapshot as text. */
export function render(snapshot: Snapshot): string {
  return JSON.stringify({ format: FORMAT, ...snapshot });
}

/** Reads the text of a snapshot; throws when it has another format. */
export function parse(text: string): Snapshot {
  const { format, ...snapshot } = JSON.parse(text) as Snapshot & {
    format: number;
  };
  if (format !== FORMAT) {
    throw new TypeError(`snapshot format ${format}, expected ${FORMAT}`);
  }
  return snapshot;
}
