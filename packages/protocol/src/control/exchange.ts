import * as v from "valibot";
import * as backend from "../backend/mod.ts";
import * as limits from "../limits/mod.ts";
import * as state from "../state/mod.ts";
import * as suspicion from "../suspicion/mod.ts";

/** Maximum number of entries in each list of an exchange. */
const MAX_TARGETS = 20_000;

/** Maximum number of announcements relayed in one message. */
export const MAX_RELAYED_ANNOUNCEMENTS = 1_024;
/** Maximum length of an announcement digest, in characters. */
const MAX_DIGEST_LENGTH = 64;

const Count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

/** Identifies one run of a host process; each start has a new incarnation. */
export const HostIdentity = v.object({
  name: backend.Name,
  incarnation: backend.Name,
  failureDomain: backend.Name,
});
export type HostIdentity = v.InferOutput<typeof HostIdentity>;

/** Load of one host on one model, adapter or plain service. */
export const Demand = v.object({
  /** `service/model[:adapter]`, or the name of a plain service. */
  target: v.string(),
  waiting: Count,
  running: Count,
  /** Time until the earliest deadline of the waiting requests, in ms. */
  earliestDeadlineMs: v.number(),
  /** Requests that arrived since the previous exchange. */
  arrivals: Count,
});
export type Demand = v.InferOutput<typeof Demand>;

/** Requests still running on a server that no longer offers their target. */
export const LingeringRequests = v.object({
  server: backend.Name,
  incarnation: backend.Name,
  target: v.string(),
  running: Count,
});
export type LingeringRequests = v.InferOutput<typeof LingeringRequests>;

/** Time between receipt and forwarding of a message by a host, in ms. */
const AgeMs = v.pipe(v.number(), v.minValue(0));

/** An announcement of a backend server, relayed to the leader by a host. */
export const RelayedAnnouncement = v.object({
  ...backend.Announcement.entries,
  /** Time since the host received it. */
  ageMs: AgeMs,
});
export type RelayedAnnouncement = v.InferOutput<typeof RelayedAnnouncement>;

/**
 * Replaces an announcement whose content the leader is expected to know: only
 * the request counts and the sequence number differ from the previous one.
 */
export const ServerHeartbeat = v.object({
  id: backend.Name,
  /** Digest of the announcement's content, including the incarnation. */
  digest: v.pipe(v.string(), v.maxLength(MAX_DIGEST_LENGTH)),
  sequence: Count,
  /** Omitted when 0. */
  running: v.optional(Count, 0),
  /** Omitted when 0. */
  queued: v.optional(Count, 0),
  /** Time since the host received the announcement. */
  ageMs: AgeMs,
});
export type ServerHeartbeat = v.InferOutput<typeof ServerHeartbeat>;

/** A deferred request that is assigned to a host for execution. */
export const Assignment = v.object({
  id: v.string(),
  /** Log index of the assignment; a host executes each assignment once. */
  assignment: Count,
  request: state.StoredRequest,
  /** Time until the deadline when the leader sent the response, in ms. */
  remainingMs: v.number(),
});
export type Assignment = v.InferOutput<typeof Assignment>;

/** An assignment whose request was cancelled by the caller. */
export const Cancellation = v.pick(Assignment, ["id", "assignment"]);
export type Cancellation = v.InferOutput<typeof Cancellation>;

/** Sent by a host to the leader about once a second, and on demand. */
export const ExchangeRequest = v.object({
  host: HostIdentity,
  roles: v.array(v.string()),
  /** Version of the configuration that the host uses. */
  version: Count,
  /** Whether the host's state is current, so that it may start new work. */
  current: v.boolean(),
  /** Last log index that the host has applied from the feed; -1 if none. */
  appliedIndex: v.pipe(v.number(), v.safeInteger(), v.minValue(-1)),
  /** Whether the host finishes its requests and accepts no new work. */
  draining: v.boolean(),
  /** Omitted when no share needs to be renewed. */
  shares: v.optional(limits.ShareReport),
  /** Omitted when empty. */
  demand: v.optional(
    v.pipe(v.array(Demand), v.maxLength(MAX_TARGETS)),
    [],
  ),
  /** Omitted when empty, which is the common case. */
  lingering: v.optional(
    v.pipe(v.array(LingeringRequests), v.maxLength(MAX_TARGETS)),
    [],
  ),
  /** Omitted when empty. */
  suspicions: v.optional(
    v.pipe(
      v.array(suspicion.SuspicionReport),
      v.maxLength(MAX_TARGETS),
    ),
    [],
  ),
  /** Number of deferred requests that the host can accept now. */
  deferredCapacity: Count,
  /** Backend servers that sent announcements; omitted when empty. */
  heartbeats: v.optional(
    v.pipe(v.array(ServerHeartbeat), v.maxLength(MAX_TARGETS)),
    [],
  ),
});
export type ExchangeRequest = v.InferOutput<typeof ExchangeRequest>;

/** Response of the leader, sent while it holds its lease. */
export const ExchangeResponse = v.object({
  term: Count,
  /** Log index of the last change to the view. */
  viewIndex: Count,
  shares: v.optional(limits.ShareGrant),
  /** Omitted when empty. */
  watched: v.optional(v.array(suspicion.WatchedFingerprint), []),
  /** Omitted when empty. */
  assignments: v.optional(v.array(Assignment), []),
  /**
   * Set while further assignments to the host are being committed. If it is
   * absent, a host that has announced its shutdown gets no more assignments.
   */
  assigning: v.optional(v.literal(true)),
  /**
   * Assignments that the host should abort because their callers cancelled
   * them. Omitted when empty.
   */
  cancellations: v.optional(v.array(Cancellation), []),
  /**
   * Backend servers whose heartbeat has a digest that the leader does not know:
   * it requests their full announcements. Omitted when empty.
   */
  unrecognized: v.optional(v.array(backend.Name), []),
});
export type ExchangeResponse = v.InferOutput<typeof ExchangeResponse>;

/**
 * Omits empty lists to keep exchanges small, as most lists of an exchange are
 * empty. The schemas read an omitted list as an empty one.
 *
 * @example
 * ```ts
 * omitEmptyLists({ watched: [], unrecognized: ["engine-1"] });
 * ```
 */
export function omitEmptyLists<
  Lists extends Readonly<Record<string, readonly unknown[]>>,
>(lists: Lists): Partial<Lists> {
  const nonEmpty = Object.entries(lists).filter(([, list]) => list.length > 0);
  return Object.fromEntries(nonEmpty) as Partial<Lists>;
}

/** JSON-RPC method of the exchange. */
export const EXCHANGE_METHOD = "control.exchange";
/** JSON-RPC method that proposes a {@link state.Command}. */
export const PROPOSE_METHOD = "control.propose";
/** JSON-RPC method that relays announcements of backend servers. */
export const ANNOUNCE_METHOD = "control.announce";
/** JSON-RPC method that reads the status of a deferred request. */
export const DEFERRED_STATUS_METHOD = "control.answer";

/** Parameters of {@link PROPOSE_METHOD}. */
export const ProposeRequest = v.object({ command: state.Command });
export type ProposeRequest = v.InferOutput<typeof ProposeRequest>;

/** Parameters of {@link ANNOUNCE_METHOD}. */
export const AnnounceRequest = v.object({
  announcements: v.pipe(
    v.array(RelayedAnnouncement),
    v.maxLength(MAX_RELAYED_ANNOUNCEMENTS),
  ),
});
export type AnnounceRequest = v.InferOutput<typeof AnnounceRequest>;

/** Parameters of {@link DEFERRED_STATUS_METHOD}. */
export const DeferredStatusRequest = v.object({
  id: v.pipe(v.string(), v.maxLength(128)),
  workspace: backend.Name,
});
export type DeferredStatusRequest = v.InferOutput<typeof DeferredStatusRequest>;

/** Progress of a deferred request. */
export const DeferredStatus = v.variant("kind", [
  v.object({ kind: v.literal("unknown") }),
  v.object({
    kind: v.literal("pending"),
    /** Whether a host is running the request. */
    running: v.boolean(),
    remainingMs: v.number(),
  }),
  v.object({ kind: v.literal("ended"), answer: state.StoredResponse }),
]);
export type DeferredStatus = v.InferOutput<typeof DeferredStatus>;
