import type * as types from "../../src/gateway/entry/types.ts";

/** Metadata of a request that carries nothing but an id. */
export const EMPTY_METADATA: types.RequestMetadata = {
  id: "7f",
  deadlineMs: undefined,
  key: undefined,
  model: undefined,
  adapter: undefined,
  tokens: undefined,
  prefixKey: undefined,
  lastEventId: undefined,
  resumedRequestId: undefined,
};
