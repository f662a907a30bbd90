import * as v from "valibot";
import * as backend from "../backend/mod.ts";
import * as configuration from "../configuration/mod.ts";

/** Largest answer kept for replay, in characters. */
export const MAX_RESPONSE_LENGTH = 4 * 1024 * 1024;

/**
 * Largest body that fits into one command beside its other members, in bytes
 * of its JSON form.
 */
export const MAX_STORED_BODY_BYTES = 1_792 * 1_024;

/** Most pools of a kind that one command names. */
export const MAX_POOLS_PER_COMMAND = 256;

const Index = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const Text = v.pipe(v.string(), v.maxLength(1_024));
const Digest = v.pipe(v.string(), v.regex(/^[0-9a-f]{16,128}$/));

/** Who made a change, and under which id a resend is recognised. */
const changeFields = {
  operator: Text,
  changeId: Text,
};

/** What the leader's build says of a configuration. */
export const ValidationResult = v.variant("kind", [
  v.object({ kind: v.literal("sound") }),
  v.object({ kind: v.literal("flawed"), reason: v.string() }),
]);
export type ValidationResult = v.InferOutput<typeof ValidationResult>;

/** Why a change of members was refused for good. */
export const MemberChangeFailure = v.variant("kind", [
  v.object({ kind: v.literal("refused"), reason: v.string() }),
  v.object({ kind: v.literal("not-found"), reason: v.string() }),
]);
export type MemberChangeFailure = v.InferOutput<typeof MemberChangeFailure>;

/** An answer as it is replayed to a resend, or collected from a deferred tier. */
export const StoredResponse = v.object({
  status: v.pipe(v.number(), v.integer(), v.minValue(100), v.maxValue(599)),
  contentType: Text,
  body: v.pipe(v.string(), v.maxLength(MAX_RESPONSE_LENGTH)),
  /** How `body` is written; UTF-8 unless given. */
  encoding: v.optional(v.picklist(["utf8", "base64"])),
  /** What a caller may conclude. */
  outcome: v.picklist(["not-run", "may-have-run", "ran"]),
  /** It is a refusal of the system, not the answer of a backend server. */
  refused: v.optional(v.literal(true)),
});
export type StoredResponse = v.InferOutput<typeof StoredResponse>;

/** A request as it is stored for later execution. */
export const StoredRequest = v.object({
  workspace: backend.Name,
  service: backend.Name,
  /** `service/model[:adapter]`; absent for plain services. */
  model: v.optional(backend.ModelReference),
  method: Text,
  path: Text,
  contentType: Text,
  body: v.pipe(v.string(), v.maxLength(MAX_RESPONSE_LENGTH)),
  tier: backend.Name,
  /** Whether it may run more than once. */
  idempotent: v.boolean(),
});
export type StoredRequest = v.InferOutput<typeof StoredRequest>;

/** A change of the replicated state. */
export const Command = v.variant("kind", [
  /** Replaces the configuration if `base` is the version in force. */
  v.object({
    kind: v.literal("publish"),
    ...changeFields,
    base: Index,
    configuration: configuration.Configuration,
    /** Given by the leader; entries of early builds have none. */
    verdict: v.optional(ValidationResult),
  }),
  v.object({
    kind: v.literal("grant-key"),
    ...changeFields,
    keyId: backend.Name,
    /** SHA-256 of the key, in hexadecimal. */
    digest: Digest,
    workspace: backend.Name,
    label: Text,
  }),
  v.object({
    kind: v.literal("withdraw-key"),
    ...changeFields,
    keyId: backend.Name,
  }),
  v.object({
    kind: v.literal("withdraw-failure-domain"),
    ...changeFields,
    failureDomain: backend.Name,
  }),
  v.object({
    kind: v.literal("restore-failure-domain"),
    ...changeFields,
    failureDomain: backend.Name,
  }),
  v.object({
    kind: v.literal("release-quarantine"),
    ...changeFields,
    fingerprint: Digest,
  }),
  /**
   * Records a change of members, or its refusal, so that a resend gets the
   * first result. It stands in the entry that changes the members.
   */
  v.object({
    kind: v.literal("note-membership"),
    ...changeFields,
    detail: Text,
    refusal: v.optional(MemberChangeFailure),
  }),
  /** Decides that a backend server holds a model; its index is the fence. */
  v.object({
    kind: v.literal("decide-replica"),
    server: backend.Name,
    incarnation: backend.Name,
    failureDomain: backend.Name,
    model: backend.ModelReference,
    version: backend.Name,
    bytes: backend.Bytes,
    kvBytes: backend.Bytes,
  }),
  /** Decides that a replica is unloaded; its index is the fence. */
  v.object({
    kind: v.literal("decide-unload"),
    replica: Index,
  }),
  /** Removes a replica whose server reports it gone, or is gone itself. */
  v.object({
    kind: v.literal("forget-replica"),
    replica: Index,
    reason: v.picklist(["unloaded", "server-gone", "refused", "turned-cold"]),
  }),
  /** Claims the right to run a non-idempotent request. */
  v.object({
    kind: v.literal("open-claim"),
    workspace: backend.Name,
    /** Digest of the caller's idempotency key. */
    key: Digest,
    /** Digest of method, path and body. */
    request: Digest,
    host: backend.Name,
    hostIncarnation: backend.Name,
    /** Made by the host for each try: a resend of one proposal succeeds again. */
    attempt: v.optional(Text),
  }),
  /** Records the answer of a claimed request. */
  v.object({
    kind: v.literal("close-claim"),
    workspace: backend.Name,
    key: Digest,
    /** Index that `claimed` returned; keeps late resends off later claims. */
    claim: v.optional(Index),
    host: backend.Name,
    hostIncarnation: backend.Name,
    answer: StoredResponse,
  }),
  /** Gives a claim back because nothing of the request ran. */
  v.object({
    kind: v.literal("release-claim"),
    workspace: backend.Name,
    key: Digest,
    /** Index that `claimed` returned; keeps late resends off later claims. */
    claim: v.optional(Index),
    /**
     * Attempt whose `open-claim` had no known outcome; an `open-claim` of this
     * attempt that arrives later opens nothing.
     */
    attempt: v.optional(Text),
    host: backend.Name,
    hostIncarnation: backend.Name,
  }),
  /** Ends what a lost host had open: its claims and its deferred work. */
  v.object({
    kind: v.literal("lose-host"),
    host: backend.Name,
    hostIncarnation: backend.Name,
  }),
  /** Sets whether leaders may grant shares of some pools. */
  v.object({
    kind: v.literal("set-grantable"),
    /** Workspaces. */
    buckets: v.pipe(v.array(Text), v.maxLength(MAX_POOLS_PER_COMMAND)),
    /** Server processes: names with incarnations. */
    servers: v.pipe(v.array(Text), v.maxLength(MAX_POOLS_PER_COMMAND)),
    isGrantable: v.boolean(),
  }),
  /** Accepts a deferred request. */
  v.object({
    kind: v.literal("accept-deferred"),
    id: Digest,
    request: StoredRequest,
    /** Time allowed from acceptance, in milliseconds. */
    maxWaitMs: v.pipe(v.number(), v.integer(), v.minValue(1)),
    /** Digest of the caller's idempotency key: a resend gets the same id. */
    key: v.optional(Digest),
  }),
  /** Hands deferred requests to a host for execution. */
  v.object({
    kind: v.literal("assign-deferred"),
    ids: v.pipe(v.array(Digest), v.maxLength(256)),
    host: backend.Name,
    hostIncarnation: backend.Name,
  }),
  /** Takes back deferred requests of which nothing ran. */
  v.object({
    kind: v.literal("return-deferred"),
    id: Digest,
    /** Index that `assigned` returned; keeps late resends off later ones. */
    assignment: v.optional(Index),
    host: backend.Name,
    hostIncarnation: backend.Name,
  }),
  v.object({
    kind: v.literal("finish-deferred"),
    id: Digest,
    /** Index that `assigned` returned; keeps late resends off later ones. */
    assignment: v.optional(Index),
    host: backend.Name,
    hostIncarnation: backend.Name,
    answer: StoredResponse,
  }),
  v.object({
    kind: v.literal("cancel-deferred"),
    id: Digest,
    workspace: backend.Name,
  }),
  v.object({
    kind: v.literal("quarantine"),
    fingerprint: Digest,
    workspace: backend.Name,
    model: Text,
    durationMs: v.pipe(v.number(), v.integer(), v.minValue(1)),
  }),
  /** Lets time pass: expires claims, answers, quarantines and deadlines. */
  v.object({ kind: v.literal("advance-time") }),
]);
export type Command = v.InferOutput<typeof Command>;

/** A command with the time at which the leader took it. */
export const TimestampedCommand = v.object({
  /** Milliseconds since the epoch; never decreases along the log. */
  timeMs: v.pipe(v.number(), v.integer(), v.minValue(0)),
  command: Command,
});
export type TimestampedCommand = v.InferOutput<typeof TimestampedCommand>;
