/**
 * RPC messages between hosts of a gateway fleet, and its replicated commands.
 *
 * @module
 */
import * as v from "valibot";
import * as state from "../state/mod.ts";
import * as suspicion from "../suspicion/mod.ts";
import * as configuration from "./configuration.ts";
import * as duties from "./duties.ts";
import { Name } from "./name.ts";
import * as server from "./server.ts";

/** Maximum number of records in one list of a message. */
const MAX_RECORDS = 20_000;

const Count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const Fingerprint = v.pipe(v.string(), v.regex(/^[0-9a-f]{16,128}$/));
const Amount = v.pipe(v.number(), v.finite(), v.minValue(0));

/**
 * The leader's record of a backend server, as sent to entry hosts. It leaves out
 * where the server keeps copies of weights, which only the leader uses.
 */
export const ServerRecord = v.object({
  ...v.omit(server.Heartbeat, ["inMemory", "onDisk"]).entries,
  /** Time since its last heartbeat when the message was sent, in ms. */
  silentMs: Amount,
  /** Models that it is about to unload, which get no new requests. */
  leaving: v.array(Name),
});
export type ServerRecord = v.InferOutput<typeof ServerRecord>;

/** Where a stream began. */
export const StreamOrigin = v.object({
  service: Name,
  /** Version of the server's software; null if it can't be told any more. */
  softwareVersion: v.nullable(v.string()),
});
export type StreamOrigin = v.InferOutput<typeof StreamOrigin>;

/** Streams that began at the same service and software version. */
export const StreamGroup = v.object({
  ...StreamOrigin.entries,
  /** Ids of the requests that began them. */
  ids: v.pipe(v.array(Name), v.maxLength(MAX_RECORDS)),
  /** Times for which their callers may resume them, in milliseconds. */
  remainingMs: v.pipe(v.array(Amount), v.maxLength(MAX_RECORDS)),
});
export type StreamGroup = v.InferOutput<typeof StreamGroup>;

/** Changes of the record of where streams began, for a copy of it. */
export const StreamChanges = v.object({
  /** Revision that the copy has with them. */
  revision: Count,
  groups: v.array(StreamGroup),
});
export type StreamChanges = v.InferOutput<typeof StreamChanges>;

/** A long poll for changes since a revision. */
export const WatchRequest = v.object({
  host: Name,
  /** Term and revision of the last response; 0 before the first one. */
  term: Count,
  revision: Count,
  /** Version of the configuration that the host has, if any. */
  configuration: v.nullable(Count),
  /** Revisions of the quarantines and of the suspects that the host knows. */
  quarantineRevision: v.optional(Count),
  suspectRevision: v.optional(Count),
  /** Number of servers that the host may know better than the leader. */
  unreported: v.optional(Count),
  /** Whether a control host asks for its copy of what the leader knows. */
  isCopy: v.optional(v.boolean()),
  /** Revision of the streams that the copy has, in the same term. */
  streamRevision: v.optional(Count),
  /** Longest time that the leader holds it, in ms; its own limit if absent. */
  waitMs: v.optional(Amount),
});
export type WatchRequest = v.InferOutput<typeof WatchRequest>;

/** The requests that are not to be run, because they crashed servers. */
export const Quarantines = v.object({
  /** Number of changes of the list in the replicated state. */
  revision: Count,
  requests: v.pipe(
    v.array(v.object({
      fingerprint: Fingerprint,
      /** Time until its end, in milliseconds. */
      remainingMs: Amount,
    })),
    v.maxLength(MAX_RECORDS),
  ),
});
export type Quarantines = v.InferOutput<typeof Quarantines>;

/** Changes since the requested revision. */
export const WatchResponse = v.object({
  term: Count,
  revision: Count,
  /** Whether `servers` is the complete list rather than the changes. */
  isWhole: v.boolean(),
  /** Whether the leader has led for long enough to have heard all servers. */
  isSettled: v.boolean(),
  servers: v.pipe(v.array(ServerRecord), v.maxLength(MAX_RECORDS)),
  /**
   * Position in an earlier leader's list that this leader has begun with, if
   * the host had a position in the same list. Hosts ahead of it know better.
   */
  base: v.optional(v.object({ term: Count, revision: Count })),
  /** Whether the next report is to hold what the host knows better. */
  wantsServers: v.optional(v.boolean()),
  withdrawnDomains: v.array(Name),
  /** Workspaces whose usage over all hosts is near their rate. */
  limitedWorkspaces: v.array(Name),
  /** Services whose servers have run several software versions lately. */
  mixedServices: v.optional(v.array(Name), []),
  controlHosts: v.array(Name),
  /**
   * Time from the request's arrival until this answer, in milliseconds. Absent
   * if the leader can't tell that it still led then.
   */
  heldMs: v.optional(Amount),
  /** Present if its version is higher than the requested one. */
  configuration: v.optional(configuration.Configuration),
  /** Time for which the leader has had it, in milliseconds. */
  configurationAgeMs: v.optional(Amount),
  /**
   * Log index of the last change in the replicated part of this answer. Absent
   * if the leader can't tell.
   */
  stateIndex: v.optional(Count),
  /** The complete list; present if its revision is not the requested one. */
  quarantines: v.optional(Quarantines),
  /**
   * Revision of the suspects of crashing servers; a host that does not have it
   * gets them with the answer to its next report.
   */
  suspectRevision: v.optional(Count),
  /** Present for copies. */
  streams: v.optional(StreamChanges),
});
export type WatchResponse = v.InferOutput<typeof WatchResponse>;

/** What any control host tells of its log, to judge whether a state is current. */
export const PositionResponse = v.object({
  /** Id of the control host. */
  member: Name,
  /** Ids of the voters, in the membership that it uses. */
  voters: v.array(Name),
  /** Fleet addresses of all control hosts. */
  controlHosts: v.array(Name),
  /**
   * Index of the newest entry in its log that may change what entry hosts act
   * on, committed or not.
   */
  newestIndex: Count,
  /** Index of the last such entry that it has applied. */
  stateIndex: Count,
  /** Whether it leads or follows a leader. */
  hasLeader: v.boolean(),
});
export type PositionResponse = v.InferOutput<typeof PositionResponse>;

/** The replicated state that entry hosts act on, of any control host. */
export const HostState = v.object({
  /** Log index of its last change. */
  index: Count,
  /** Null before the first one. */
  configuration: v.nullable(configuration.Configuration),
  withdrawnDomains: v.array(Name),
  /** Services whose servers have run several software versions lately. */
  mixedServices: v.array(Name),
  quarantines: Quarantines,
});
export type HostState = v.InferOutput<typeof HostState>;

/** Demand for a model, or one of its adapters, on one host. */
export const ModelDemand = v.object({
  service: Name,
  model: Name,
  adapter: v.optional(Name),
  /** Software version that the requests need: they continue streams. */
  softwareVersion: v.optional(v.string()),
  /**
   * For each waiting request, time until its latency objective expires;
   * negative once it has. In milliseconds.
   */
  slacksMs: v.pipe(
    v.array(v.pipe(v.number(), v.finite())),
    v.maxLength(MAX_RECORDS),
  ),
  /**
   * Time until each caller that was told to come back does so, in milliseconds;
   * negative once it is overdue. Each is among `slacksMs` too, which alone
   * models are loaded by. Hosts of earlier builds send none.
   */
  returningMs: v.optional(v.pipe(
    v.array(v.pipe(v.number(), v.finite())),
    v.maxLength(MAX_RECORDS),
  )),
  /** Requests in progress. */
  running: Count,
  /** Requests received since the previous report. */
  arrivals: Count,
  /** Those of them whose callers came back; hosts of earlier builds tell none. */
  returned: v.optional(Count),
});
export type ModelDemand = v.InferOutput<typeof ModelDemand>;

/** Tokens that a workspace has used. */
export const WorkspaceUsage = v.object({
  workspace: Name,
  tokens: v.pipe(v.number(), v.finite()),
});
export type WorkspaceUsage = v.InferOutput<typeof WorkspaceUsage>;

/** Tokens that a workspace has used on one host since the host started. */
export const ReportedUsage = v.object({
  ...WorkspaceUsage.entries,
  /** The value of `tokens` in the host's last report that was answered. */
  acknowledged: v.pipe(v.number(), v.finite()),
});
export type ReportedUsage = v.InferOutput<typeof ReportedUsage>;

/** Requests in progress on a server, by model unless the service is plain. */
export const ServerLoad = v.object({
  server: Name,
  model: v.optional(Name),
  adapter: v.optional(Name),
  running: Count,
  /** Prompt tokens of those that have not begun to answer; 0 if absent. */
  unreadTokens: v.optional(Count),
  /** Prompt and output tokens of all of them; 0 if absent. */
  reservedTokens: v.optional(Count),
  /**
   * In reports: first events since the previous one, with the sum of the
   * logarithms of their times relative to the expected ones.
   */
  observed: v.optional(
    v.object({ count: Count, logRatio: v.pipe(v.number(), v.finite()) }),
  ),
  /** In answers: slots kept for callers that were told to come back, if any. */
  kept: v.optional(Count),
  /** In answers: time that the server takes relative to the usual one. */
  pace: v.optional(Amount),
});
export type ServerLoad = v.InferOutput<typeof ServerLoad>;

/** First attempts of requests for a service. */
export const RequestCount = v.object({ service: Name, count: Count });
export type RequestCount = v.InferOutput<typeof RequestCount>;

/** Limits for all hosts together, of which the leader lends whole units. */
export const SharedLimit = v.picklist([
  /** Retries to a service. */
  "retries",
  /** Requests to a server that is warming up. */
  "cold-server",
]);
export type SharedLimit = v.InferOutput<typeof SharedLimit>;

/** Units of a shared limit: wanted in a report, lent in its answer. */
export const LimitUnits = v.object({
  limit: SharedLimit,
  /** Name of the service, or id of the server. */
  name: Name,
  units: Count,
});
export type LimitUnits = v.InferOutput<typeof LimitUnits>;

/** A stream that its caller may resume at another host. */
export const ReportedStream = v.object({
  ...StreamOrigin.entries,
  /** Id of the request that began it. */
  id: Name,
  /** Time for which its caller may resume it, in milliseconds. */
  remainingMs: Amount,
});
export type ReportedStream = v.InferOutput<typeof ReportedStream>;

/** A question for where a stream began. */
export const StreamRequest = v.object({
  /** Id of the request that began it; null if the caller did not name it. */
  id: v.nullable(Name),
  /** Services that the route distributes requests to. */
  services: v.array(Name),
});
export type StreamRequest = v.InferOutput<typeof StreamRequest>;

/** Where a stream began; null if the leader can't tell. */
export const StreamResponse = v.object({ origin: v.nullable(StreamOrigin) });
export type StreamResponse = v.InferOutput<typeof StreamResponse>;

/** Number of servers that have a model, or are about to. */
export const ModelCopies = v.object({
  /** They can serve it. */
  loaded: Count,
  /** They keep a copy of its weights in memory. */
  inMemory: Count,
  /** They keep a copy of its weights on disk. */
  onDisk: Count,
  /** They have been ordered to load it, or are about to be. */
  loading: Count,
});
export type ModelCopies = v.InferOutput<typeof ModelCopies>;

/** When a model that requests wait for can be loaded at the earliest. */
export const LoadForecast = v.object({
  service: Name,
  model: Name,
  /** Time until then, in milliseconds. */
  readyMs: Amount,
  /** What that follows from; leaders of earlier builds tell none. */
  copies: v.optional(ModelCopies),
});
export type LoadForecast = v.InferOutput<typeof LoadForecast>;

/** One start of a server. */
export const ServerStart = v.object({ id: Name, born: Count });
export type ServerStart = v.InferOutput<typeof ServerStart>;

/** Report of an entry host to the leader. */
export const ReportRequest = v.object({
  /** Name of the host and a random id of its process. */
  host: Name,
  /** Increases with each report; hosts of earlier builds send none. */
  sequence: v.optional(Count),
  demand: v.pipe(v.array(ModelDemand), v.maxLength(MAX_RECORDS)),
  /** Counters that have changed since the last answer. */
  usage: v.pipe(v.array(ReportedUsage), v.maxLength(MAX_RECORDS)),
  load: v.pipe(v.array(ServerLoad), v.maxLength(MAX_RECORDS)),
  /** First attempts since the previous report. */
  requests: v.pipe(v.array(RequestCount), v.maxLength(MAX_RECORDS)),
  wanted: v.pipe(v.array(LimitUnits), v.maxLength(MAX_RECORDS)),
  /** Streams that the leader has not been told of in its term. */
  streams: v.optional(
    v.pipe(v.array(ReportedStream), v.maxLength(MAX_RECORDS)),
    [],
  ),
  /** Crashes of servers, and suspects that wait or have ended. */
  suspicions: v.optional(
    v.pipe(v.array(suspicion.SuspicionReport), v.maxLength(MAX_RECORDS)),
  ),
  /** Servers that have told the host that they leave. */
  leaving: v.optional(
    v.pipe(v.array(ServerStart), v.maxLength(MAX_RECORDS)),
  ),
  /** Term and usage revision of the last response; 0 before the first one. */
  answered: v.object({ term: Count, usageRevision: Count }),
  /**
   * Tokens that workspaces lack of their bursts, as far as the host knows; told
   * to each new leader by hosts that another leader has answered.
   */
  missing: v.optional(
    v.pipe(v.array(WorkspaceUsage), v.maxLength(MAX_RECORDS)),
  ),
  /**
   * Servers that the leader lacks or knows by an older heartbeat; empty unless
   * it wants them.
   */
  servers: v.pipe(v.array(ServerRecord), v.maxLength(MAX_RECORDS)),
  /** Counts that have changed since the last answer in the same term. */
  begun: v.optional(
    v.pipe(v.array(duties.WindowCount), v.maxLength(MAX_RECORDS)),
  ),
  /** Time of day at the host, in milliseconds since 1970. */
  wallMs: v.optional(Amount),
});
export type ReportRequest = v.InferOutput<typeof ReportRequest>;

/** The leader's answer to a report. */
export const ReportResponse = v.object({
  term: Count,
  /** Number of hosts that were heard of lately, including the one that asks. */
  hostCount: Count,
  /**
   * Tokens that all other hosts have used since the term began, of workspaces
   * for which this has changed since the last response.
   */
  usage: v.array(WorkspaceUsage),
  usageRevision: Count,
  /**
   * Tokens that workspaces lack of their bursts; told to hosts that this leader
   * has not answered before. Workspaces that are not listed lack none.
   */
  missing: v.optional(v.array(WorkspaceUsage)),
  /**
   * Time for which `missing` presumes more than may be missing, in milliseconds:
   * others may still tell the leader what they know. A host that has just begun
   * reports as one that was not answered until then, and once after it.
   */
  missingPresumedMs: v.optional(Amount),
  /**
   * Requests in progress over all hosts, on each server that the reported
   * demand and requests may use.
   */
  load: v.array(ServerLoad),
  lent: v.array(LimitUnits),
  /** For the models that requests of the host wait for and no server holds. */
  forecasts: v.array(LoadForecast),
  /** Suspects that run only isolated, and their revision. */
  watched: v.optional(v.array(suspicion.WatchedFingerprint)),
  suspectRevision: v.optional(Count),
  /** Time of day at most hosts, in milliseconds since 1970. */
  fleetTimeMs: v.optional(Amount),
  /** Windows up to this one are closed: nothing more is counted to them. */
  closedWindow: v.optional(Count),
});
export type ReportResponse = v.InferOutput<typeof ReportResponse>;

/**
 * A change by an operator that a later change can undo. A copy that arrives after
 * that one has to be recognized: the operator may have given it up long before.
 */
export const ReversibleChange = v.variant("kind", [
  v.object({ kind: v.literal("withdraw-domain"), domain: Name }),
  v.object({ kind: v.literal("restore-domain"), domain: Name }),
  v.object({
    kind: v.literal("release-quarantine"),
    fingerprint: Fingerprint,
  }),
]);
export type ReversibleChange = v.InferOutput<typeof ReversibleChange>;

/** A command for the replicated state machine. */
export const Command = v.variant("kind", [
  v.object({
    kind: v.literal("configure"),
    configuration: configuration.Configuration,
    /** The document as the operator sent it, returned when it is read. */
    source: v.string(),
  }),
  ...ReversibleChange.options,
  // Makes a control host the only one that may send orders to servers.
  v.object({ kind: v.literal("hold-orders"), host: Name }),
  // Servers of a service run this version of their software from now on.
  v.object({
    kind: v.literal("add-software-version"),
    service: Name,
    softwareVersion: v.string(),
  }),
  // No server has run this version for long.
  v.object({
    kind: v.literal("remove-software-version"),
    service: Name,
    softwareVersion: v.string(),
  }),
  v.object({ kind: v.literal("quarantine"), ...state.Quarantine.entries }),
  // A start of a server, and all earlier ones, have ended.
  v.object({ kind: v.literal("end-server"), id: Name, born: Count }),
  // Makes a control host the only one that may perform a duty.
  v.object({ kind: v.literal("hold-duty"), duty: duties.Duty, host: Name }),
  // Fixes what is reported for a window, before it is sent for the first time.
  v.object({ kind: v.literal("close-window"), ...duties.WindowUsage.entries }),
  // The report for a window has been accepted.
  v.object({ kind: v.literal("window-delivered"), window: Count }),
  // Fixes an order before it is sent for the first time, or tells of its end.
  v.object({ kind: v.literal("order-servers"), ...duties.ServerOrder.entries }),
  // Changes nothing: once it is committed, a read of the state is linearizable.
  v.object({ kind: v.literal("barrier") }),
]);
export type Command = v.InferOutput<typeof Command>;

/** A change that is made only to the state that it was meant for. */
export const ChangeRequest = v.object({
  change: ReversibleChange,
  /**
   * Revision of that state while the operator was known to wait; null if the
   * host doesn't know it.
   */
  basis: v.nullable(Count),
});
export type ChangeRequest = v.InferOutput<typeof ChangeRequest>;

export const ChangeResponse = v.variant("kind", [
  v.object({ kind: v.literal("committed") }),
  // Another change came first; nothing was changed.
  v.object({ kind: v.literal("superseded"), revision: Count }),
]);
export type ChangeResponse = v.InferOutput<typeof ChangeResponse>;

/** A server's heartbeat or shutdown, forwarded to the leader. */
export const ServerUpdate = v.variant("kind", [
  v.object({ kind: v.literal("heartbeat"), heartbeat: server.Heartbeat }),
  v.object({
    kind: v.literal("ended"),
    id: Name,
    /**
     * The start that has ended; null if the leader did not know the server. Hosts
     * of earlier builds do not tell it.
     */
    born: v.optional(v.nullable(Count)),
  }),
]);
export type ServerUpdate = v.InferOutput<typeof ServerUpdate>;

/** A question for the last start of a server that the leader knows. */
export const StartRequest = v.object({ id: Name });
export type StartRequest = v.InferOutput<typeof StartRequest>;

/** Start of the server; null if the leader doesn't know the server. */
export const StartResponse = v.object({ born: v.nullable(Count) });
export type StartResponse = v.InferOutput<typeof StartResponse>;

/** A control host's request to become a member of the replicated log. */
export const JoinRequest = v.object({ id: Name, address: Name });
export type JoinRequest = v.InferOutput<typeof JoinRequest>;

/** RPC methods that control hosts serve on their fleet listener. */
export const METHODS = {
  watch: "gateway.watch",
  report: "gateway.report",
  command: "gateway.command",
  change: "gateway.change",
  read: "gateway.read",
  heartbeat: "gateway.heartbeat",
  start: "gateway.start",
  join: "gateway.join",
  stream: "gateway.stream",
  quarantines: "gateway.quarantines",
  position: "gateway.position",
  state: "gateway.state",
} as const;
