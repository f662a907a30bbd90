import * as v from "valibot";
import * as backend from "../backend/mod.ts";
import * as configuration from "../configuration/mod.ts";
import * as control from "../control/mod.ts";
import * as state from "../state/mod.ts";

const Index = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

/** A change that was accepted, as log index. */
export const ChangeResponse = v.object({ index: Index });
export type ChangeResponse = v.InferOutput<typeof ChangeResponse>;

/** A published configuration and who published it. */
export const PublishedVersion = v.object({
  version: Index,
  operator: v.string(),
  timeMs: v.number(),
  configuration: configuration.Configuration,
});
export type PublishedVersion = v.InferOutput<typeof PublishedVersion>;

/** A key as operators see it: never the key, never its digest. */
export const Key = v.omit(state.Key, ["digest"]);
export type Key = v.InferOutput<typeof Key>;

/** Answer of `GET /v1/keys`. */
export const Keys = v.object({ keys: v.array(Key) });
export type Keys = v.InferOutput<typeof Keys>;

/** Answer of `GET /v1/failure-domains`. */
export const FailureDomains = v.object({ withdrawn: v.array(backend.Name) });
export type FailureDomains = v.InferOutput<typeof FailureDomains>;

/** Answer of `GET /v1/quarantine`. */
export const Quarantines = v.object({ quarantines: v.array(state.Quarantine) });
export type Quarantines = v.InferOutput<typeof Quarantines>;

/** One member of the replicated state. */
export const Member = v.object({
  id: v.string(),
  /** Fleet address. */
  address: v.string(),
  role: v.picklist(["voter", "learner"]),
  leads: v.boolean(),
  /** Last log entry that it has synced, as far as the leader knows. */
  matchIndex: Index,
  /** Time since the leader heard from it, in milliseconds. */
  silentMs: v.nullable(v.number()),
});
export type Member = v.InferOutput<typeof Member>;

/** Answer of `GET /v1/members`. */
export const Members = v.object({
  term: Index,
  commitIndex: Index,
  members: v.array(Member),
  /** Voters that may still be lost before changes stop. */
  mayLose: v.pipe(v.number(), v.integer(), v.minValue(0)),
});
export type Members = v.InferOutput<typeof Members>;

/** What became of a change of members. */
export const MemberChangeResult = v.variant("kind", [
  v.object({ kind: v.literal("done"), index: Index }),
  /** Nothing was changed. */
  v.object({ kind: v.literal("refused"), reason: v.string() }),
  v.object({ kind: v.literal("not-found"), reason: v.string() }),
]);
export type MemberChangeResult = v.InferOutput<typeof MemberChangeResult>;

/** One host and what it has applied. */
export const Host = v.object({
  ...control.HostIdentity.entries,
  roles: v.array(v.string()),
  /** Last log index that is in force at the host. */
  index: Index,
  /** Version of the configuration in force at the host. */
  version: Index,
  /** Whether it starts new work. */
  current: v.boolean(),
  /** Time since the leader heard from it, in milliseconds. */
  silentMs: v.number(),
});
export type Host = v.InferOutput<typeof Host>;

/** Answer of `GET /v1/hosts`. */
export const Hosts = v.object({ hosts: v.array(Host) });
export type Hosts = v.InferOutput<typeof Hosts>;

/** Answer of `GET /v1/status`: the fleet as the asked host sees it. */
export const Status = v.object({
  host: control.HostIdentity,
  cell: backend.Name,
  softwareVersion: v.string(),
  /** Whether the asked host starts new work. */
  current: v.boolean(),
  /** Fleet address of the leader, where it is known. */
  leader: v.nullable(v.string()),
  term: Index,
  index: Index,
  version: Index,
  withdrawnFailureDomains: v.array(backend.Name),
  servers: v.array(control.ServerStatus),
});
export type Status = v.InferOutput<typeof Status>;

/** One entry of the audit trail. */
export const AuditEntry = v.object({
  index: Index,
  timeMs: v.number(),
  operator: v.string(),
  changeId: v.string(),
  /** Kind of the change, for instance `publish`. */
  action: v.string(),
  subject: v.string(),
  /** SHA-256 of the change. */
  contentDigest: v.string(),
  /** Digest of the entry before. */
  previous: v.string(),
  digest: v.string(),
});
export type AuditEntry = v.InferOutput<typeof AuditEntry>;

/** Answer of `GET /v1/audit?after=INDEX`. */
export const AuditPage = v.object({
  entries: v.array(AuditEntry),
  /** Whether entries follow the last one of the page. */
  more: v.boolean(),
});
export type AuditPage = v.InferOutput<typeof AuditPage>;

/** Problem document of a refused call, as the command line reads it. */
export const Problem = v.object({
  title: v.string(),
  status: v.number(),
  detail: v.string(),
  outcome: v.picklist(["not-run", "may-have-run", "ran"]),
  hint: v.string(),
  /** Version that won against a refused publishing. */
  winner: v.optional(
    v.object({ version: Index, operator: v.string(), timeMs: v.number() }),
  ),
});
export type Problem = v.InferOutput<typeof Problem>;
