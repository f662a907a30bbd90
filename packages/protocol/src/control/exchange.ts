import * as v from "valibot";
import * as backend from "../backend/mod.ts";
import * as limits from "../limits/mod.ts";
import * as state from "../state/mod.ts";
import * as suspicion from "../suspicion/mod.ts";

/** Most models and services that one exchange may mention. */
const LISTED_TARGETS = 20_000;

/** Most announcements that are passed on in one message. */
export const MAX_RELAYED_ANNOUNCEMENTS = 1_024;
/** Longest digest of an announcement, in characters. */
const DIGEST_LENGTH = 64;

const Count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

/** A process of the fleet, told apart from its earlier starts. */
export const HostIdentity = v.object({
  name: backend.Name,
  incarnation: backend.Name,
  failureDomain: backend.Name,
});
export type HostIdentity = v.InferOutput<typeof HostIdentity>;

/** What one host wants of one model or plain service. */
export const Demand = v.object({
  /** `service/model[:adapter]`, or the name of a plain service. */
  target: v.string(),
  waiting: Count,
  running: Count,
  /** Time left until the earliest deadline among the waiting, in ms. */
  earliestDeadlineMs: v.number(),
  /** Arrivals since the previous exchange. */
  arrivals: Count,
});
export type Demand = v.InferOutput<typeof Demand>;

/** Requests that run on a server which no longer offers their target. */
export const LingeringRequests = v.object({
  server: backend.Name,
  incarnation: backend.Name,
  target: v.string(),
  running: Count,
});
export type LingeringRequests = v.InferOutput<typeof LingeringRequests>;

/** Time for which a host held something before it sent it, in ms. */
const Age = v.pipe(v.number(), v.minValue(0));

/** An announcement of a backend server that a host passes on. */
export const RelayedAnnouncement = v.object({
  ...backend.Announcement.entries,
  /** Time since the host received it. */
  ageMs: Age,
});
export type RelayedAnnouncement = v.InferOutput<typeof RelayedAnnouncement>;

/**
 * Stands for an announcement whose content the leader is expected to know:
 * only the counts and the sequence differ from the announcement before.
 */
export const ServerHeartbeat = v.object({
  id: backend.Name,
  /** Names the content, including the incarnation. */
  digest: v.pipe(v.string(), v.maxLength(DIGEST_LENGTH)),
  sequence: Count,
  /** Absent when there are none. */
  running: v.optional(Count, 0),
  /** Absent when there are none. */
  queued: v.optional(Count, 0),
  /** Time since the host received the announcement. */
  ageMs: Age,
});
export type ServerHeartbeat = v.InferOutput<typeof ServerHeartbeat>;

/** A deferred request handed to a host for execution. */
export const Assignment = v.object({
  id: v.string(),
  /** Log index of the assignment: a host executes each one once. */
  assignment: Count,
  request: state.StoredRequest,
  /** Time left until its deadline when the leader answered, in ms. */
  remainingMs: v.number(),
});
export type Assignment = v.InferOutput<typeof Assignment>;

/** An assignment whose caller cancelled the request. */
export const Cancellation = v.pick(Assignment, ["id", "assignment"]);
export type Cancellation = v.InferOutput<typeof Cancellation>;

/** What a host tells the leader, about once a second and on need. */
export const ExchangeRequest = v.object({
  host: HostIdentity,
  roles: v.array(v.string()),
  /** Version of the configuration in force at the host. */
  version: Count,
  /** Whether the host starts new work. */
  current: v.boolean(),
  /** Log index up to which the host has applied the feed; -1 for none. */
  appliedIndex: v.pipe(v.number(), v.safeInteger(), v.minValue(-1)),
  /** It finishes what it has and takes no new work. */
  draining: v.boolean(),
  /** Absent when no share is due. */
  shares: v.optional(limits.ShareReport),
  /** Absent when there is none. */
  demand: v.optional(
    v.pipe(v.array(Demand), v.maxLength(LISTED_TARGETS)),
    [],
  ),
  /** Absent when there are none, as most of the time. */
  lingering: v.optional(
    v.pipe(v.array(LingeringRequests), v.maxLength(LISTED_TARGETS)),
    [],
  ),
  /** Absent when there are none. */
  suspicions: v.optional(
    v.pipe(
      v.array(suspicion.SuspicionReport),
      v.maxLength(LISTED_TARGETS),
    ),
    [],
  ),
  /** Deferred requests that the host can take now. */
  deferredCapacity: Count,
  /** Backend servers that announced themselves; absent when there are none. */
  heartbeats: v.optional(
    v.pipe(v.array(ServerHeartbeat), v.maxLength(LISTED_TARGETS)),
    [],
  ),
});
export type ExchangeRequest = v.InferOutput<typeof ExchangeRequest>;

/** The leader's answer, given under its lease. */
export const ExchangeResponse = v.object({
  term: Count,
  /** Log index of the latest change of the view. */
  viewIndex: Count,
  shares: v.optional(limits.ShareGrant),
  /** Absent when there are none. */
  watched: v.optional(v.array(suspicion.WatchedFingerprint), []),
  /** Absent when there are none. */
  assignments: v.optional(v.array(Assignment), []),
  /**
   * Further assignments to the host are being decided. Absent when none is: a
   * host that has said that it shuts down gets no other.
   */
  assigning: v.optional(v.literal(true)),
  /**
   * Assignments of the host to end: their callers want no answer any more.
   * Absent when there are none.
   */
  cancellations: v.optional(v.array(Cancellation), []),
  /**
   * Backend servers whose heartbeat names a content that the leader does not
   * know: it wants their announcements. Absent when there are none.
   */
  unrecognized: v.optional(v.array(backend.Name), []),
});
export type ExchangeResponse = v.InferOutput<typeof ExchangeResponse>;

/**
 * Leaves out empty lists, which most lists of an exchange are: the schemas take
 * an absent one as empty.
 *
 * @example
 * ```ts
 * omitEmptyLists({ watched: [], unrecognized: ["engine-1"] });
 * ```
 */
export function omitEmptyLists<
  Lists extends Readonly<Record<string, readonly unknown[]>>,
>(lists: Lists): Partial<Lists> {
  const filled = Object.entries(lists).filter(([, list]) => list.length > 0);
  return Object.fromEntries(filled) as Partial<Lists>;
}

/** JSON-RPC method of the exchange. */
export const EXCHANGE_METHOD = "control.exchange";
/** JSON-RPC method that proposes a {@link state.Command}. */
export const PROPOSE_METHOD = "control.propose";
/** JSON-RPC method that passes on announcements of backend servers. */
export const ANNOUNCE_METHOD = "control.announce";
/** JSON-RPC method that reads a deferred request. */
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

/** How far a deferred request has come. */
export const DeferredStatus = v.variant("kind", [
  v.object({ kind: v.literal("unknown") }),
  v.object({
    kind: v.literal("pending"),
    /** Whether a host runs it now. */
    running: v.boolean(),
    remainingMs: v.number(),
  }),
  v.object({ kind: v.literal("ended"), answer: state.StoredResponse }),
]);
export type DeferredStatus = v.InferOutput<typeof DeferredStatus>;
