import type * as types from "../../src/gateway/entry/types.ts";

/** What the head of a request says that names nothing but itself. */
export const EMPTY_METADATA: types.RequestMetadata = {
  id: "7f",
  deadlineMs: undefined,
  key: undefined,
  model: undefined,
  adapter: undefined,
  tokens: undefined,
  prefixKey: undefined,
  lastEventId: undefined,
};
