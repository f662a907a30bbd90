import * as v from "valibot";
import * as backend from "../backend/mod.ts";

const Index = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const Text = v.pipe(v.string(), v.maxLength(1_024));

/** JSON-RPC method that reads the replicated state from the leader. */
export const READ_METHOD = "control.read";
/** JSON-RPC method that changes the members of the replicated state. */
export const CHANGE_MEMBERS_METHOD = "control.change-members";

/** A read that the leader serves while it holds its lease. */
export const Query = v.variant("kind", [
  v.object({ kind: v.literal("view") }),
  v.object({
    kind: v.literal("configuration"),
    /** Defaults to the active version. */
    version: v.optional(Index),
  }),
  v.object({ kind: v.literal("members") }),
  v.object({ kind: v.literal("hosts") }),
  v.object({
    kind: v.literal("audit"),
    after: Index,
    limit: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(10_000)),
  }),
]);
export type Query = v.InferOutput<typeof Query>;

const changeFields = { operator: Text, changeId: Text };

/** A membership change of the replicated state. */
export const MemberChange = v.variant("kind", [
  v.object({ kind: v.literal("add"), ...changeFields, address: Text }),
  v.object({ kind: v.literal("remove"), ...changeFields, id: Text }),
  v.object({
    kind: v.literal("replace"),
    ...changeFields,
    id: Text,
    address: Text,
  }),
]);
export type MemberChange = v.InferOutput<typeof MemberChange>;

/** Identity that a host reports before it joins a group. */
export const MemberIdentity = v.object({
  id: Text,
  name: backend.Name,
});
export type MemberIdentity = v.InferOutput<typeof MemberIdentity>;
