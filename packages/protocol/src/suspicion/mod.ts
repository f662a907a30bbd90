/**
 * Messages about requests that may crash the backend servers that run them.
 *
 * An entry host reports which fingerprints it had in flight on a server when
 * the server died, and which suspects it ran to their end. The leader answers
 * with the fingerprints that every host must treat with care.
 *
 * @module
 */

import * as v from "valibot";

/** Most fingerprints that one message may carry. */
export const MAX_FINGERPRINTS = 4096;

const MAX_NAME_CHARACTERS = 256;

const Name = v.pipe(v.string(), v.nonEmpty(), v.maxLength(MAX_NAME_CHARACTERS));
const Duration = v.pipe(v.number(), v.finite(), v.minValue(0));
const Fingerprints = v.pipe(v.array(Name), v.maxLength(MAX_FINGERPRINTS));

/** What an entry host saw of a request's effect on a backend server. */
export const SuspicionReport = v.variant("kind", [
  /** A server died, or lost its process, with these requests in flight. */
  v.object({
    kind: v.literal("death"),
    server: Name,
    /** Incarnation that died: reports of it from many hosts are one death. */
    incarnation: Name,
    inFlight: Fingerprints,
  }),
  /** A watched request ran to its end on a server that stayed up. */
  v.object({ kind: v.literal("survived"), fingerprint: Name }),
]);

/** What an entry host saw of a request's effect on a backend server. */
export type SuspicionReport = v.InferOutput<typeof SuspicionReport>;

/** A fingerprint that entry hosts must treat with care. */
export const WatchedFingerprint = v.variant("kind", [
  /** Present at one death: runs only where no other suspect runs. */
  v.object({
    kind: v.literal("suspect"),
    fingerprint: Name,
    remainingMs: Duration,
  }),
  /** Present at separate deaths: refused on every host. */
  v.object({
    kind: v.literal("quarantined"),
    fingerprint: Name,
    remainingMs: Duration,
  }),
]);

/** A fingerprint that entry hosts must treat with care. */
export type WatchedFingerprint = v.InferOutput<typeof WatchedFingerprint>;
