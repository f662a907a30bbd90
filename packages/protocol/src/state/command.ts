import * as v from "valibot";
import * as backend from "../backend/mod.ts";
import * as configuration from "../configuration/mod.ts";

/** Maximum length of a stored request or response body, in characters. */
export const MAX_RESPONSE_LENGTH = 4 * 1024 * 1024;

/**
 * Maximum size of a body that fits into one command together with the other
 * fields, in bytes of its JSON encoding.
 */
export const MAX_STORED_BODY_BYTES = 1_792 * 1_024;

/** Maximum number of pools of each kind in one command. */
export const MAX_POOLS_PER_COMMAND = 256;

const Index = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const Text = v.pipe(v.string(), v.maxLength(1_024));
const Digest = v.pipe(v.string(), v.regex(/^[0-9a-f]{16,128}$/));

/** Author of a change, and the ID that identifies its retries. */
const changeFields = {
  operator: Text,
  changeId: Text,
};

/** Result of the leader's validation of a configuration. */
export const ValidationResult = v.variant("kind", [
  v.object({ kind: v.literal("sound") }),
  v.object({ kind: v.literal("flawed"), reason: v.string() }),
]);
export type ValidationResult = v.InferOutput<typeof ValidationResult>;

/** Permanent failure of a membership change. */
export const MemberChangeFailure = v.variant("kind", [
  v.object({ kind: v.literal("refused"), reason: v.string() }),
  v.object({ kind: v.literal("not-found"), reason: v.string() }),
]);
export type MemberChangeFailure = v.InferOutput<typeof MemberChangeFailure>;

/** A response stored for replay to retries, or for a deferred request. */
export const StoredResponse = v.object({
  status: v.pipe(v.number(), v.integer(), v.minValue(100), v.maxValue(599)),
  contentType: Text,
  body: v.pipe(v.string(), v.maxLength(MAX_RESPONSE_LENGTH)),
  /** Encoding of `body`; defaults to UTF-8. */
  encoding: v.optional(v.picklist(["utf8", "base64"])),
  /** Whether the request was executed. */
  outcome: v.picklist(["not-run", "may-have-run", "ran"]),
  /** Set for a refusal by a host, not set for a backend server's response. */
  refused: v.optional(v.literal(true)),
});
export type StoredResponse = v.InferOutput<typeof StoredResponse>;

/** A request stored for later execution. */
export const StoredRequest = v.object({
  workspace: backend.Name,
  service: backend.Name,
  /** `service/model[:adapter]`; omitted for plain services. */
  model: v.optional(backend.ModelReference),
  method: Text,
  path: Text,
  contentType: Text,
  body: v.pipe(v.string(), v.maxLength(MAX_RESPONSE_LENGTH)),
  tier: backend.Name,
  /** Whether the request may be executed more than once. */
  idempotent: v.boolean(),
});
export type StoredRequest = v.InferOutput<typeof StoredRequest>;

/** A command that changes the replicated state. */
export const Command = v.variant("kind", [
  /** Replaces the configuration if `base` is the active version. */
  v.object({
    kind: v.literal("publish"),
    ...changeFields,
    base: Index,
    configuration: configuration.Configuration,
    /** Set by the leader; missing in log entries of early builds. */
    verdict: v.optional(ValidationResult),
  }),
  v.object({
    kind: v.literal("grant-key"),
    ...changeFields,
    keyId: backend.Name,
    /** Hexadecimal SHA-256 of the key. */
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
   * Records a membership change or its failure, so that retries get the first
   * result. A successful change is recorded in the log entry that makes it.
   */
  v.object({
    kind: v.literal("note-membership"),
    ...changeFields,
    detail: Text,
    refusal: v.optional(MemberChangeFailure),
  }),
  /** Places a replica on a server; the log index is the fencing token. */
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
  /** Decides to unload a replica; the log index is the fencing token. */
  v.object({
    kind: v.literal("decide-unload"),
    replica: Index,
  }),
  /** Removes a replica that its server lacks, or whose server is gone. */
  v.object({
    kind: v.literal("forget-replica"),
    replica: Index,
    reason: v.picklist(["unloaded", "server-gone", "refused", "turned-cold"]),
  }),
  /** Claims the exclusive right to run a non-idempotent request. */
  v.object({
    kind: v.literal("open-claim"),
    workspace: backend.Name,
    /** Digest of the caller's idempotency key. */
    key: Digest,
    /** Digest of method, path and body. */
    request: Digest,
    host: backend.Name,
    hostIncarnation: backend.Name,
    /** Set by the host per attempt, so that resending a proposal succeeds. */
    attempt: v.optional(Text),
  }),
  /** Stores the response of a claimed request. */
  v.object({
    kind: v.literal("close-claim"),
    workspace: backend.Name,
    key: Digest,
    /** Index from `claimed`; protects later claims from late retries. */
    claim: v.optional(Index),
    host: backend.Name,
    hostIncarnation: backend.Name,
    answer: StoredResponse,
  }),
  /** Releases a claim because no part of the request was executed. */
  v.object({
    kind: v.literal("release-claim"),
    workspace: backend.Name,
    key: Digest,
    /** Index from `claimed`; protects later claims from late retries. */
    claim: v.optional(Index),
    /**
     * Attempt whose `open-claim` has an unknown outcome. If that `open-claim`
     * is applied later, it has no effect.
     */
    attempt: v.optional(Text),
    host: backend.Name,
    hostIncarnation: backend.Name,
  }),
  /** Ends the claims and deferred requests of a lost host. */
  v.object({
    kind: v.literal("lose-host"),
    host: backend.Name,
    hostIncarnation: backend.Name,
  }),
  /** Sets whether leaders may grant shares of the given pools. */
  v.object({
    kind: v.literal("set-grantable"),
    /** Names of workspaces. */
    buckets: v.pipe(v.array(Text), v.maxLength(MAX_POOLS_PER_COMMAND)),
    /** Backend servers as `id/incarnation`. */
    servers: v.pipe(v.array(Text), v.maxLength(MAX_POOLS_PER_COMMAND)),
    isGrantable: v.boolean(),
  }),
  /** Stores a deferred request. */
  v.object({
    kind: v.literal("accept-deferred"),
    id: Digest,
    request: StoredRequest,
    /** Time from acceptance to the deadline, in milliseconds. */
    maxWaitMs: v.pipe(v.number(), v.integer(), v.minValue(1)),
    /** Digest of the caller's idempotency key; retries get the same ID. */
    key: v.optional(Digest),
  }),
  /** Assigns deferred requests to a host for execution. */
  v.object({
    kind: v.literal("assign-deferred"),
    ids: v.pipe(v.array(Digest), v.maxLength(256)),
    host: backend.Name,
    hostIncarnation: backend.Name,
  }),
  /** Returns a deferred request to the queue if no part of it was executed. */
  v.object({
    kind: v.literal("return-deferred"),
    id: Digest,
    /** Index from `assigned`; protects later assignments from late retries. */
    assignment: v.optional(Index),
    host: backend.Name,
    hostIncarnation: backend.Name,
  }),
  v.object({
    kind: v.literal("finish-deferred"),
    id: Digest,
    /** Index from `assigned`; protects later assignments from late retries. */
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
  /** Advances time: expires claims, responses, quarantines and deadlines. */
  v.object({ kind: v.literal("advance-time") }),
]);
export type Command = v.InferOutput<typeof Command>;

/** A command with the time at which the leader received it. */
export const TimestampedCommand = v.object({
  /** Milliseconds since the Unix epoch; never decreases from entry to entry. */
  timeMs: v.pipe(v.number(), v.integer(), v.minValue(0)),
  command: Command,
});
export type TimestampedCommand = v.InferOutput<typeof TimestampedCommand>;
