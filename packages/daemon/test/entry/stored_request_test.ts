import { Buffer } from "node:buffer";
import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import { expect } from "chai";
import * as storedRequest from "../../src/entry/stored_request.ts";
import type * as types from "../../src/entry/types.ts";

/** Most that the other members of a command take, in characters. */
const OTHER_MEMBERS = 64 * 1_024;
const MAX = protocol.state.STORED_BYTES;

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
  ["a body over it as JSON", { body: Buffer.alloc(MAX / 2 + 1, "\n") }, 413],
  ["a body that is no text", { body: Buffer.from([0xff]) }, 400],
  ["a giant path", { path: "/".repeat(2_000) }, 413],
];

describe("a request as it is stored", () => {
  it("fits into a proposal", () => {
    expect(MAX + OTHER_MEMBERS).to.be.at.most(
      core.replication.DEFAULT_SETTINGS.proposalCharacters,
    );
  });

  for (const [title, change, status] of CASES) {
    it(`${status === 0 ? "takes" : "refuses"} ${title}`, () => {
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
