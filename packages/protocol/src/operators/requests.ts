import * as v from "valibot";
import * as backend from "../backend/mod.ts";
import * as configuration from "../configuration/mod.ts";

/** Maximum length of change and member IDs, in characters. */
const MAX_ID_LENGTH = 128;
const MAX_ADDRESS_LENGTH = 512;
const MAX_LABEL_LENGTH = 256;

/** Makes a change idempotent: a retry with the same ID gets the same result. */
export const ChangeId = v.pipe(
  v.string(),
  v.regex(/^[A-Za-z0-9._-]+$/),
  v.maxLength(MAX_ID_LENGTH),
);

/** ID of a member of the replicated state. */
export const MemberId = v.pipe(
  v.string(),
  v.regex(/^[\x21-\x7e]+$/),
  v.maxLength(MAX_ID_LENGTH),
);

const Address = v.pipe(
  v.string(),
  v.regex(/^[0-9A-Fa-f.:[\]]+:\d{1,5}$/),
  v.maxLength(MAX_ADDRESS_LENGTH),
);

/** Body of `POST /v1/configuration`. */
export const PublishRequest = v.strictObject({
  /** Version on which the change is based. */
  base: v.pipe(v.number(), v.safeInteger(), v.minValue(0)),
  changeId: ChangeId,
  configuration: configuration.Configuration,
});
export type PublishRequest = v.InferOutput<typeof PublishRequest>;

/**
 * Body of `POST /v1/keys`. The operator's client generates the key and sends
 * only its digest, so that a retry sends the same key.
 */
export const GrantKeyRequest = v.strictObject({
  changeId: ChangeId,
  keyId: backend.Name,
  /** Hexadecimal SHA-256 of the key. */
  digest: v.pipe(v.string(), v.regex(/^[0-9a-f]{64}$/)),
  workspace: backend.Name,
  label: v.optional(v.pipe(v.string(), v.maxLength(MAX_LABEL_LENGTH)), ""),
});
export type GrantKeyRequest = v.InferOutput<typeof GrantKeyRequest>;

/** Body of changes that are fully specified by method and path. */
export const ChangeRequest = v.strictObject({ changeId: ChangeId });
export type ChangeRequest = v.InferOutput<typeof ChangeRequest>;

/** Body of `POST /v1/members/add`. */
export const AddMemberRequest = v.strictObject({
  changeId: ChangeId,
  /** Fleet address of the new control host. */
  address: Address,
});
export type AddMemberRequest = v.InferOutput<typeof AddMemberRequest>;

/** Body of `POST /v1/members/remove`. */
export const RemoveMemberRequest = v.strictObject({
  changeId: ChangeId,
  id: MemberId,
});
export type RemoveMemberRequest = v.InferOutput<typeof RemoveMemberRequest>;

/** Body of `POST /v1/members/replace`. */
export const ReplaceMemberRequest = v.strictObject({
  changeId: ChangeId,
  /** Member that is removed once the new one has caught up. */
  id: MemberId,
  /** Fleet address of the new control host. */
  address: Address,
});
export type ReplaceMemberRequest = v.InferOutput<typeof ReplaceMemberRequest>;
