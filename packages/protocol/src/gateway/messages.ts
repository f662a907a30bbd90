/**
 * Calls between entry hosts and the leader of the control hosts.
 *
 * @module
 */
import * as v from "valibot";
import * as configuration from "./configuration.ts";
import * as server from "./server.ts";

/** Most records in one message. */
const LISTED = 20_000;

const Name = v.pipe(v.string(), v.minLength(1), v.maxLength(1_024));
const Count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const Amount = v.pipe(v.number(), v.finite(), v.minValue(0));

/** A server as the leader describes it to entry hosts. */
export const ServerRecord = v.object({
  ...server.Heartbeat.entries,
  /** Age of its last heartbeat when the leader answered, in ms. */
  silentMs: Amount,
  /** Models that it is about to drop; they take no new requests. */
  leaving: v.array(Name),
});
export type ServerRecord = v.InferOutput<typeof ServerRecord>;

/** Asks for what has changed, and waits for a change. */
export const WatchRequest = v.object({
  host: Name,
  /** Term and revision of the last answer; 0 when there is none. */
  term: Count,
  revision: Count,
  configuration: v.nullable(Count),
});
export type WatchRequest = v.InferOutput<typeof WatchRequest>;

/** What has changed since the revision asked for. */
export const WatchResponse = v.object({
  term: Count,
  revision: Count,
  /** Whether `servers` lists all that the leader knows. */
  isWhole: v.boolean(),
  /** Whether the leader has heard all servers since it leads. */
  isSettled: v.boolean(),
  servers: v.pipe(v.array(ServerRecord), v.maxLength(LISTED)),
  withdrawnDomains: v.array(Name),
  controlHosts: v.array(Name),
  /** Present when its version is higher than the one asked for. */
  configuration: v.optional(configuration.Configuration),
});
export type WatchResponse = v.InferOutput<typeof WatchResponse>;

/** Requests of one host for a model that wait for a server. */
export const ModelDemand = v.object({
  service: Name,
  model: Name,
  adapter: v.optional(Name),
  /** Of each waiting request the time until it is late; in milliseconds. */
  slacksMs: v.pipe(
    v.array(v.pipe(v.number(), v.finite())),
    v.maxLength(LISTED),
  ),
  /** Requests that run. */
  running: Count,
  /** Requests that arrived since the previous report. */
  arrivals: Count,
});
export type ModelDemand = v.InferOutput<typeof ModelDemand>;

/** Tokens that a workspace has used at one host since the host started. */
export const WorkspaceUsage = v.object({ workspace: Name, tokens: Amount });
export type WorkspaceUsage = v.InferOutput<typeof WorkspaceUsage>;

/** Requests of one model, or of a plain service, that run at a server. */
export const ServerLoad = v.object({
  server: Name,
  model: v.optional(Name),
  adapter: v.optional(Name),
  running: Count,
});
export type ServerLoad = v.InferOutput<typeof ServerLoad>;

/** What an entry host tells the leader several times per second. */
export const ReportRequest = v.object({
  /** Name and start of the host. */
  host: Name,
  demand: v.pipe(v.array(ModelDemand), v.maxLength(LISTED)),
  usage: v.pipe(v.array(WorkspaceUsage), v.maxLength(LISTED)),
  load: v.pipe(v.array(ServerLoad), v.maxLength(LISTED)),
  /** Term and usage revision of the last answer; 0 when there is none. */
  answered: v.object({ term: Count, usageRevision: Count }),
  /** Servers that the host knows, for a leader that asked for them. */
  servers: v.pipe(v.array(ServerRecord), v.maxLength(LISTED)),
});
export type ReportRequest = v.InferOutput<typeof ReportRequest>;

/** What all hosts have reported. */
export const ReportResponse = v.object({
  term: Count,
  /** Hosts that reported lately, the asking one included. */
  hosts: v.array(Name),
  /** Tokens used at each host, where they have changed since the last answer. */
  usage: v.array(v.object({ host: Name, usage: v.array(WorkspaceUsage) })),
  usageRevision: Count,
  /** Requests that run at each server, for all hosts together. */
  load: v.array(ServerLoad),
});
export type ReportResponse = v.InferOutput<typeof ReportResponse>;

/** A change of the replicated state. */
export const Command = v.variant("kind", [
  v.object({
    kind: v.literal("configure"),
    configuration: configuration.Configuration,
    /** The document as the operator sent it, for reading it back. */
    source: v.string(),
  }),
  v.object({ kind: v.literal("withdraw-domain"), domain: Name }),
  v.object({ kind: v.literal("restore-domain"), domain: Name }),
  // Names the only control host that may give orders to servers from now on.
  v.object({ kind: v.literal("hold-orders"), host: Name }),
  // Once it is committed, the state before it is known to be current.
  v.object({ kind: v.literal("barrier") }),
]);
export type Command = v.InferOutput<typeof Command>;

/** A heartbeat that a control host passes on to the leader. */
export const ServerUpdate = v.variant("kind", [
  v.object({ kind: v.literal("heartbeat"), heartbeat: server.Heartbeat }),
  v.object({ kind: v.literal("ended"), id: Name }),
]);
export type ServerUpdate = v.InferOutput<typeof ServerUpdate>;

/** A control host that wants to be a member of the replicated log. */
export const JoinRequest = v.object({ id: Name, address: Name });
export type JoinRequest = v.InferOutput<typeof JoinRequest>;

/** Methods on the fleet listener of a control host. */
export const METHODS = {
  watch: "gateway.watch",
  report: "gateway.report",
  command: "gateway.command",
  read: "gateway.read",
  heartbeat: "gateway.heartbeat",
  join: "gateway.join",
} as const;
