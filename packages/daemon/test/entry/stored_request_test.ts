import { Buffer } from "node:buffer";
import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import { expect } from "chai";
import * as storedRequest from "../../src/entry/stored_request.ts";
import type * as types from "../../src/entry/types.ts";

/** Upper bound of the other members of a command, in characters. */
const OTHER_MEMBERS = 64 * 1_024;
const MAX = protocol.state.MAX_STORED_BODY_BYTES;

const WORK = {
  service: "orders",
  target: "orders",
  method: "POST",
  path: "/orders",
  body: Buffer.from("{}"),
  tier: { name: "later" },
  idempotent: false,
} as types.Work;

const CASES: [title: string, change: Partial<types.Work>, status: number][] = [
  ["a body at the limit", { body: Buffer.alloc(MAX, "x") }, 0],
  ["a body over the limit", { body: Buffer.alloc(MAX + 1, "x") }, 413],
  [
    "a body over the limit as JSON",
    { body: Buffer.alloc(MAX / 2 + 1, "\n") },
    413,
  ],
  ["a body that is not text", { body: Buffer.from([0xff]) }, 400],
  ["an oversized path", { path: "/".repeat(2_000) }, 413],
];

describe("toStoredRequest", () => {
  it("produces requests that fit into a proposal", () => {
    expect(MAX + OTHER_MEMBERS).to.be.at.most(
      core.replication.DEFAULT_SETTINGS.maxProposalCharacters,
    );
  });

  for (const [title, change, status] of CASES) {
    it(`${status === 0 ? "accepts" : "refuses"} ${title}`, () => {
      const store = () =>
        storedRequest.toStoredRequest(
          { ...WORK, ...change },
          "web-shop",
          "text/plain",
        );
      if (status === 0) {
        store();
        return;
      }
      expect(store).to.throw(protocol.errors.Refusal)
        .with.nested.include({
          "definition.status": status,
          "outcome": "not-run",
        });
    });
  }
});
