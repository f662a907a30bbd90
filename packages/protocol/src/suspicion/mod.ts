/**
 * Messages about requests suspected of crashing backend servers.
 *
 * A host reports the requests that were in flight on a crashed server, the
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

/** A request that was in flight on a server when the server crashed. */
export const InFlightRequest = v.object({
  /** Digest of the workspace, model and body. */
  fingerprint: Name,
  workspace: Name,
  model: Name,
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
    inFlight: v.pipe(v.array(InFlightRequest), v.maxLength(MAX_FINGERPRINTS)),
  }),
  /** A suspect waits for execution; sent repeatedly until it is admitted. */
  v.object({
    kind: v.literal("waiting"),
    fingerprint: Name,
    /** Servers that can run the request, in order of preference. */
    servers: v.pipe(v.array(Name), v.maxLength(MAX_FINGERPRINTS)),
    /** Maximum run time of the request, in milliseconds. */
    runMs: Duration,
  }),
  /** An admitted suspect has ended, or a suspect has stopped waiting. */
  v.object({
    kind: v.literal("ended"),
    fingerprint: Name,
    /** Whether the request completed without a crash of the server. */
    survived: v.boolean(),
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
    remainingMs: Duration,
  }),
  /** The receiving host may run the request once, on this server. */
  v.object({
    kind: v.literal("admitted"),
    fingerprint: Name,
    server: Name,
    remainingMs: Duration,
  }),
]);

/** Status of a suspect that the leader sends to the hosts. */
export type WatchedFingerprint = v.InferOutput<typeof WatchedFingerprint>;
