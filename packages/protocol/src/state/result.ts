import * as v from "valibot";
import * as command from "./command.ts";

const Index = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

/** What a command did when it was applied. */
export const CommandResult = v.variant("kind", [
  /** The change is made; `index` is its log index and the new version. */
  v.object({ kind: v.literal("done"), index: Index }),
  /** A publishing lost against the version that names `operator`. */
  v.object({
    kind: v.literal("version-conflict"),
    version: Index,
    operator: v.string(),
    timeMs: v.number(),
  }),
  v.object({ kind: v.literal("invalid"), reason: v.string() }),
  v.object({ kind: v.literal("not-found"), reason: v.string() }),
  /** A change of members that was not made. */
  v.object({ kind: v.literal("refused"), reason: v.string() }),
  /** A limit of the replicated state is reached; nothing was stored. */
  v.object({ kind: v.literal("full"), reason: v.string() }),
  /** The claim was opened for the proposing host. */
  v.object({ kind: v.literal("claimed"), index: Index }),
  /** An earlier try holds the claim and is still running at `host`. */
  v.object({ kind: v.literal("claim-running"), host: v.string() }),
  /** The idempotency key belongs to another request. */
  v.object({ kind: v.literal("claim-conflict") }),
  /** The host that held the claim was lost; the outcome is not known. */
  v.object({ kind: v.literal("claim-unknown") }),
  /** The answer of the first try. */
  v.object({
    kind: v.literal("claim-answered"),
    answer: command.StoredResponse,
  }),
  /** The deferred request is stored under `id`. */
  v.object({
    kind: v.literal("deferred"),
    id: v.string(),
    deadlineMs: v.number(),
  }),
  /** The ids that were handed out; others had ended. */
  v.object({
    kind: v.literal("assigned"),
    ids: v.array(v.string()),
    /** The assignment: the log index of the command. */
    index: Index,
  }),
  /** The host incarnation was declared lost: it has to take a new one. */
  v.object({ kind: v.literal("host-lost") }),
]);
export type CommandResult = v.InferOutput<typeof CommandResult>;
