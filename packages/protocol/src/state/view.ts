import * as v from "valibot";
import * as backend from "../backend/mod.ts";
import * as configuration from "../configuration/mod.ts";
import * as suspicion from "../suspicion/mod.ts";

const Index = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

/** An API key as stored on hosts, with its digest instead of the secret. */
export const Key = v.object({
  id: backend.Name,
  digest: v.string(),
  workspace: backend.Name,
  label: v.string(),
  grantedMs: v.number(),
});
export type Key = v.InferOutput<typeof Key>;

/** Blocks requests with a fingerprint from execution until `untilMs`. */
export const Quarantine = v.object({
  fingerprint: v.string(),
  workspace: v.string(),
  model: v.string(),
  untilMs: v.number(),
  /** Absent for a single request, which only its fingerprint identifies. */
  attribute: v.optional(suspicion.NamedAttribute),
});
export type Quarantine = v.InferOutput<typeof Quarantine>;

/** Part of the replicated state that is replicated to all entry hosts. */
export const FleetView = v.object({
  /** Index of the last applied log entry. */
  index: Index,
  /** Version of the configuration: the log index of its publication. */
  version: Index,
  configuration: configuration.Configuration,
  keys: v.array(Key),
  withdrawnFailureDomains: v.array(backend.Name),
  quarantines: v.array(Quarantine),
});
export type FleetView = v.InferOutput<typeof FleetView>;

/** An incremental change to the view. */
export const ViewChange = v.variant("kind", [
  v.object({
    kind: v.literal("configuration"),
    version: Index,
    configuration: configuration.Configuration,
  }),
  v.object({ kind: v.literal("key-granted"), key: Key }),
  v.object({ kind: v.literal("key-withdrawn"), keyId: backend.Name }),
  v.object({
    kind: v.literal("failure-domains"),
    withdrawn: v.array(backend.Name),
  }),
  v.object({ kind: v.literal("quarantined"), quarantine: Quarantine }),
  v.object({ kind: v.literal("quarantine-ended"), fingerprint: v.string() }),
]);
export type ViewChange = v.InferOutput<typeof ViewChange>;
