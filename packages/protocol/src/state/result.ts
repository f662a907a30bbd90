import * as v from "valibot";
import * as command from "./command.ts";

const Index = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

/** Result of applying a command. */
export const CommandResult = v.variant("kind", [
  /** The change was made; `index` is its log index and the new version. */
  v.object({ kind: v.literal("done"), index: Index }),
  /** The base is outdated: `operator` has published a newer version. */
  v.object({
    kind: v.literal("version-conflict"),
    version: Index,
    operator: v.string(),
    timeMs: v.number(),
  }),
  v.object({ kind: v.literal("invalid"), reason: v.string() }),
  v.object({ kind: v.literal("not-found"), reason: v.string() }),
  /** A membership change was rejected. */
  v.object({ kind: v.literal("refused"), reason: v.string() }),
  /** A limit of the replicated state was reached; nothing was stored. */
  v.object({ kind: v.literal("full"), reason: v.string() }),
  /** The claim was opened for the proposing host. */
  v.object({ kind: v.literal("claimed"), index: Index }),
  /** An earlier attempt holds the claim and is still running on `host`. */
  v.object({ kind: v.literal("claim-running"), host: v.string() }),
  /** The idempotency key was used for a different request. */
  v.object({ kind: v.literal("claim-conflict") }),
  /** The host that held the claim was lost, so the outcome is unknown. */
  v.object({ kind: v.literal("claim-unknown") }),
  /** The stored response of the first attempt. */
  v.object({
    kind: v.literal("claim-answered"),
    answer: command.StoredResponse,
  }),
  /** The deferred request was stored under `id`. */
  v.object({
    kind: v.literal("deferred"),
    id: v.string(),
    deadlineMs: v.number(),
  }),
  /** IDs of the assigned requests; those left out had already ended. */
  v.object({
    kind: v.literal("assigned"),
    ids: v.array(v.string()),
    /** Log index of the command, which identifies the assignment. */
    index: Index,
  }),
  /** The incarnation was declared lost; the host must start a new one. */
  v.object({ kind: v.literal("host-lost") }),
]);
export type CommandResult = v.InferOutput<typeof CommandResult>;
