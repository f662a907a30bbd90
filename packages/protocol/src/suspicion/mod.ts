/**
 * Messages about requests suspected of crashing backend servers.
 *
 * A suspect is an attribute of requests: the request itself, a part of its
 * prompt, its adapter or its model. Each attribute has a fingerprint. A host reports the requests that were in flight on a crashed server, the
 * suspects that wait for execution on it, and the results of their execution.
 * The leader responds with all suspects, and with the servers on which the host
 * may run those of its own that are admitted.
 *
 * @module
 */

import * as v from "valibot";

/** Maximum number of fingerprints or servers in one report. */
export const MAX_FINGERPRINTS = 4096;

const MAX_NAME_LENGTH = 256;

const Name = v.pipe(v.string(), v.nonEmpty(), v.maxLength(MAX_NAME_LENGTH));
const Duration = v.pipe(v.number(), v.finite(), v.minValue(0));

/** Maximum number of attributes of a request, besides the request itself. */
export const MAX_ATTRIBUTES = 32;

/** What several requests may have in common, from narrow to wide. */
export const AttributeKind = v.picklist([
  "request",
  "prompt-part",
  "prompt-prefix",
  "adapter",
  "model",
]);

/** What several requests may have in common, from narrow to wide. */
export type AttributeKind = v.InferOutput<typeof AttributeKind>;

/** An attribute of requests, by a name that operators know. */
export const NamedAttribute = v.object({ kind: AttributeKind, name: Name });

/** An attribute of requests, by a name that operators know. */
export type NamedAttribute = v.InferOutput<typeof NamedAttribute>;

/** An attribute of requests. */
export const Attribute = v.object({
  fingerprint: Name,
  ...NamedAttribute.entries,
});

/** An attribute of requests. */
export type Attribute = v.InferOutput<typeof Attribute>;

const Fingerprints = v.pipe(
  v.array(Name),
  v.maxLength(MAX_ATTRIBUTES),
);

/** A request that was in flight on a server when the server crashed. */
export const InFlightRequest = v.object({
  /** Digest of the workspace, model and body. */
  fingerprint: Name,
  workspace: Name,
  model: Name,
  /** What it may share with other requests, from narrow to wide. */
  attributes: v.optional(
    v.pipe(v.array(Attribute), v.maxLength(MAX_ATTRIBUTES)),
  ),
  /** Time from its sending to the crash, in milliseconds. */
  ranMs: v.optional(Duration),
  /** Fingerprint of its only suspected attribute, if it ran isolated. */
  alone: v.optional(Name),
});

/** A request that was in flight on a server when the server crashed. */
export type InFlightRequest = v.InferOutput<typeof InFlightRequest>;

/** Report of a host about a suspected request or a crash. */
export const SuspicionReport = v.variant("kind", [
  /** A server crashed with these requests in flight. */
  v.object({
    kind: v.literal("death"),
    server: Name,
    /** Crashed incarnation; reports by several hosts count as one crash. */
    incarnation: Name,
    /** Time since the crash, in milliseconds. */
    ageMs: v.optional(Duration),
    inFlight: v.pipe(v.array(InFlightRequest), v.maxLength(MAX_FINGERPRINTS)),
  }),
  /** A suspect waits for execution; sent repeatedly until it is admitted. */
  v.object({
    kind: v.literal("waiting"),
    fingerprint: Name,
    /** Fingerprints of its attributes. */
    attributes: v.optional(Fingerprints),
    /** Servers that can run the request, in order of preference. */
    servers: v.pipe(v.array(Name), v.maxLength(MAX_FINGERPRINTS)),
    /** Maximum run time of the request, in milliseconds. */
    runMs: Duration,
  }),
  /**
   * An admitted suspect has ended, a suspect has stopped waiting, or a request
   * with a suspected attribute has ended.
   */
  v.object({
    kind: v.literal("ended"),
    fingerprint: Name,
    /** Whether the request completed without a crash of the server. */
    survived: v.boolean(),
    /** Time since it began to run, in milliseconds. */
    beganMs: v.optional(Duration),
  }),
]);

/** Report of a host about a suspected request or a crash. */
export type SuspicionReport = v.InferOutput<typeof SuspicionReport>;

/** Status of a suspect that the leader sends to the hosts. */
export const WatchedFingerprint = v.variant("kind", [
  /** May run only when admitted by the leader, and only on the given server. */
  v.object({
    kind: v.literal("suspect"),
    fingerprint: Name,
    /** Whether hosts report runs without a crash, but isolate none yet. */
    isObserved: v.optional(v.boolean()),
    remainingMs: Duration,
  }),
  /** The receiving host may run the request once, on this server. */
  v.object({
    kind: v.literal("admitted"),
    fingerprint: Name,
    server: Name,
    /** Fingerprint of its suspected attribute, if it has a single one. */
    alone: v.optional(Name),
    remainingMs: Duration,
  }),
]);

/** Status of a suspect that the leader sends to the hosts. */
export type WatchedFingerprint = v.InferOutput<typeof WatchedFingerprint>;
