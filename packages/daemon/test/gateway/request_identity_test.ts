import { Buffer } from "node:buffer";
import { expect } from "chai";
import * as requestIdentity from "../../src/gateway/entry/request_identity.ts";

const REQUEST: requestIdentity.IdentifiedRequest = {
  request: {
    method: "POST",
    url: "/stock/1?page=3",
    headers: { host: "shop.example", "x-request-id": "a" },
  },
  body: Buffer.from("body"),
  workspace: { name: "t1", keys: [], priority: undefined },
  content: {
    service: "desk",
    model: undefined,
    adapter: undefined,
    promptParts: [],
  },
};

function fingerprintOf(
  overrides: Partial<requestIdentity.IdentifiedRequest>,
): string {
  return new requestIdentity.RequestIdentity({ ...REQUEST, ...overrides })
    .fingerprint;
}

describe("the fingerprint of a request", () => {
  it("is the same under another id and another key of the workspace", () => {
    const again = fingerprintOf({
      request: {
        ...REQUEST.request,
        headers: { host: "SHOP.example", "x-request-id": "b" },
      },
      body: Buffer.from("body"),
      workspace: { name: "t1", keys: ["k2"], priority: undefined },
    });
    expect(again).to.equal(fingerprintOf({}));
    expect(again).to.match(/^[0-9a-f]{32}$/);
  });

  it("differs by workspace, method, target, host, and body", () => {
    const { request } = REQUEST;
    const variants = [
      fingerprintOf({}),
      fingerprintOf({ workspace: undefined }),
      fingerprintOf({ request: { ...request, method: "PUT" } }),
      fingerprintOf({ request: { ...request, url: "/stock/1?page=4" } }),
      fingerprintOf({ request: { ...request, headers: { host: "h" } } }),
      fingerprintOf({ body: Buffer.from("Body") }),
      fingerprintOf({ body: undefined }),
      fingerprintOf({ body: Buffer.alloc(0) }),
    ];
    expect(new Set(variants).size).to.equal(variants.length);
  });
});
