import { Buffer } from "node:buffer";
import type * as requestAttributes from "../../src/gateway/entry/request_attributes.ts";
import * as requestIdentity from "../../src/gateway/entry/request_identity.ts";
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
  promptParts: [],
  lastEventId: undefined,
  resumedRequestId: undefined,
};

/** Creates the identity of a request that differs from others by its body. */
export function identityOf(
  body = "",
  content: Partial<requestAttributes.SharedContent> = {},
): requestIdentity.RequestIdentity {
  return new requestIdentity.RequestIdentity({
    request: { method: "POST", url: "/", headers: { host: "h" } },
    body: Buffer.from(body),
    workspace: undefined,
    content: {
      service: "m",
      model: undefined,
      adapter: undefined,
      promptParts: [],
      ...content,
    },
  });
}
