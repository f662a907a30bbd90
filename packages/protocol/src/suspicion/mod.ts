/**
 * Messages about requests that may crash the backend servers that run them.
 *
 * A host reports which requests it had in flight on a server that died, which
 * suspects it wants to run, and how they ended. The leader answers with all
 * suspects, and with the servers on which the host may run its own ones.
 *
 * @module
 */

import * as v from "valibot";

/** Most fingerprints that one message may carry. */
export const MAX_FINGERPRINTS = 4096;

const MAX_NAME_CHARACTERS = 256;

const Name = v.pipe(v.string(), v.nonEmpty(), v.maxLength(MAX_NAME_CHARACTERS));
const Duration = v.pipe(v.number(), v.finite(), v.minValue(0));

/** A request that was in flight on a server when it died. */
export const InFlightRequest = v.object({
  /** Digest of workspace, model and body. */
  fingerprint: Name,
  workspace: Name,
  model: Name,
});

/** A request that was in flight on a server when it died. */
export type InFlightRequest = v.InferOutput<typeof InFlightRequest>;

/** What a host knows or wants of suspects. */
export const SuspicionReport = v.variant("kind", [
  /** A server died with these requests in flight. */
  v.object({
    kind: v.literal("death"),
    server: Name,
    /** Incarnation that died: reports of it from many hosts are one death. */
    incarnation: Name,
    inFlight: v.pipe(v.array(InFlightRequest), v.maxLength(MAX_FINGERPRINTS)),
  }),
  /** A suspect waits to be run; repeated until it is admitted. */
  v.object({
    kind: v.literal("waiting"),
    fingerprint: Name,
    /** Servers that could run it, the preferred one first. */
    servers: v.pipe(v.array(Name), v.maxLength(MAX_FINGERPRINTS)),
    /** Longest time that it may run, in milliseconds. */
    runMs: Duration,
  }),
  /** An admitted suspect has ended, or waits no more. */
  v.object({
    kind: v.literal("ended"),
    fingerprint: Name,
    /** It ran to its end on a server that stayed up. */
    survived: v.boolean(),
  }),
]);

/** What a host knows or wants of suspects. */
export type SuspicionReport = v.InferOutput<typeof SuspicionReport>;

/** A suspect, as the leader tells the hosts. */
export const WatchedFingerprint = v.variant("kind", [
  /** Runs only when and where the leader admits it. */
  v.object({
    kind: v.literal("suspect"),
    fingerprint: Name,
    remainingMs: Duration,
  }),
  /** The host that is told so may run it once, on this server. */
  v.object({
    kind: v.literal("admitted"),
    fingerprint: Name,
    server: Name,
    remainingMs: Duration,
  }),
]);

/** A suspect, as the leader tells the hosts. */
export type WatchedFingerprint = v.InferOutput<typeof WatchedFingerprint>;
