import * as v from "valibot";
import * as backend from "../backend/mod.ts";
import * as configuration from "../configuration/mod.ts";
import * as control from "../control/mod.ts";
import * as state from "../state/mod.ts";

const Index = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

/** Response to an accepted change, with its log index. */
export const ChangeResponse = v.object({ index: Index });
export type ChangeResponse = v.InferOutput<typeof ChangeResponse>;

/** A published configuration with its publisher and time. */
export const PublishedVersion = v.object({
  version: Index,
  operator: v.string(),
  timeMs: v.number(),
  configuration: configuration.Configuration,
});
export type PublishedVersion = v.InferOutput<typeof PublishedVersion>;

/** An API key as shown to operators, without the secret and its digest. */
export const Key = v.omit(state.Key, ["digest"]);
export type Key = v.InferOutput<typeof Key>;

/** Response body of `GET /v1/keys`. */
export const Keys = v.object({ keys: v.array(Key) });
export type Keys = v.InferOutput<typeof Keys>;

/** Response body of `GET /v1/failure-domains`. */
export const FailureDomains = v.object({ withdrawn: v.array(backend.Name) });
export type FailureDomains = v.InferOutput<typeof FailureDomains>;

/** Response body of `GET /v1/quarantine`. */
export const Quarantines = v.object({ quarantines: v.array(state.Quarantine) });
export type Quarantines = v.InferOutput<typeof Quarantines>;

/** A member of the replicated state. */
export const Member = v.object({
  id: v.string(),
  /** Fleet address. */
  address: v.string(),
  role: v.picklist(["voter", "learner"]),
  leads: v.boolean(),
  /** Last log entry known by the leader to be synced on the member's disk. */
  matchIndex: Index,
  /** Time since the leader last received a message from it, in milliseconds. */
  silentMs: v.nullable(v.number()),
});
export type Member = v.InferOutput<typeof Member>;

/** Response body of `GET /v1/members`. */
export const Members = v.object({
  term: Index,
  commitIndex: Index,
  members: v.array(Member),
  /** Number of further voters that can fail before the quorum is lost. */
  mayLose: v.pipe(v.number(), v.integer(), v.minValue(0)),
});
export type Members = v.InferOutput<typeof Members>;

/** Result of a membership change. */
export const MemberChangeResult = v.variant("kind", [
  v.object({ kind: v.literal("done"), index: Index }),
  /** The change was rejected without effect. */
  v.object({ kind: v.literal("refused"), reason: v.string() }),
  v.object({ kind: v.literal("not-found"), reason: v.string() }),
]);
export type MemberChangeResult = v.InferOutput<typeof MemberChangeResult>;

/** A host and the state that it has applied. */
export const Host = v.object({
  ...control.HostIdentity.entries,
  roles: v.array(v.string()),
  /** Last log index that the host has applied. */
  index: Index,
  /** Version of the configuration that the host uses. */
  version: Index,
  /** Whether the host's state is current, so that it may start new work. */
  current: v.boolean(),
  /** Time since the leader last received a message from it, in milliseconds. */
  silentMs: v.number(),
});
export type Host = v.InferOutput<typeof Host>;

/** Response body of `GET /v1/hosts`. */
export const Hosts = v.object({ hosts: v.array(Host) });
export type Hosts = v.InferOutput<typeof Hosts>;

/** Response body of `GET /v1/status`: the fleet as seen by the host. */
export const Status = v.object({
  host: control.HostIdentity,
  cell: backend.Name,
  softwareVersion: v.string(),
  /** Whether the host's state is current, so that it may start new work. */
  current: v.boolean(),
  /** Fleet address of the leader, if known. */
  leader: v.nullable(v.string()),
  term: Index,
  index: Index,
  version: Index,
  withdrawnFailureDomains: v.array(backend.Name),
  servers: v.array(control.ServerStatus),
});
export type Status = v.InferOutput<typeof Status>;

/** An entry of the audit trail. */
export const AuditEntry = v.object({
  index: Index,
  timeMs: v.number(),
  operator: v.string(),
  changeId: v.string(),
  /** Kind of the change, e.g. `publish`. */
  action: v.string(),
  subject: v.string(),
  /** SHA-256 of the change. */
  contentDigest: v.string(),
  /** Digest of the previous entry. */
  previous: v.string(),
  digest: v.string(),
});
export type AuditEntry = v.InferOutput<typeof AuditEntry>;

/** Response body of `GET /v1/audit?after=INDEX`. */
export const AuditPage = v.object({
  entries: v.array(AuditEntry),
  /** Whether more entries follow this page. */
  more: v.boolean(),
});
export type AuditPage = v.InferOutput<typeof AuditPage>;

/** Problem document of a refused call, as parsed by the command line. */
export const Problem = v.object({
  title: v.string(),
  status: v.number(),
  detail: v.string(),
  outcome: v.picklist(["not-run", "may-have-run", "ran"]),
  hint: v.string(),
  /** Version that was published first, when a publication is refused. */
  winner: v.optional(
    v.object({ version: Index, operator: v.string(), timeMs: v.number() }),
  ),
});
export type Problem = v.InferOutput<typeof Problem>;
