import { Buffer } from "node:buffer";
import * as protocol from "@ebonypath/protocol";
import { expect } from "chai";
import * as collecting from "../../src/entry/collecting_sink.ts";
import type * as types from "../../src/entry/types.ts";

const MAX_BYTES = 8;

const CASES: [
  title: string,
  body: Buffer,
  status: number,
  stored: string | RegExp,
][] = [
  ["text", Buffer.from("ok: ä"), 201, "ok: ä"],
  ["an empty body", Buffer.alloc(0), 201, ""],
  ["a body at the limit", Buffer.alloc(MAX_BYTES, "a"), 201, "aaaaaaaa"],
  ["a body over the limit", Buffer.alloc(9, "a"), 409, /more than 8 bytes/],
  ["text over the limit as JSON", Buffer.from("\n\n\n\n\n"), 409, /8 bytes/],
  ["a body that is not text", Buffer.from([0xff, 0xfe]), 201, "//4="],
];

describe("CollectingSink", () => {
  for (const [title, body, status, stored] of CASES) {
    it(`stores ${title} as ${status} and forwards the original answer`, () => {
      const sink = new collecting.CollectingSink(MAX_BYTES);
      const headers = { "content-type": "text/plain" };
      sink.answer({ status: 201, headers, body });
      const answer: protocol.state.StoredResponse = sink.collected;
      expect(answer.status).to.equal(status);
      expect(answer.outcome).to.equal("ran");
      if (typeof stored === "string") expect(answer.body).to.equal(stored);
      else expect(JSON.parse(answer.body).detail).to.match(stored);
      const forwarded: types.CompleteAnswer[] = [];
      const caller = {
        answer: (original: types.CompleteAnswer) => forwarded.push(original),
      };
      sink.forwardTo(caller as unknown as types.Sink);
      expect(forwarded).to.deep.equal([{ status: 201, headers, body }]);
    });
  }

  it("forwards a refusal unchanged", () => {
    const sink = new collecting.CollectingSink(MAX_BYTES);
    const refusal = new protocol.errors.Refusal(
      protocol.errors.RATE_EXCEEDED,
      "no tokens",
      { retryAfterSeconds: 1 },
    );
    sink.refuse(refusal);
    const forwarded: protocol.errors.Refusal[] = [];
    const caller = {
      refuse: (one: protocol.errors.Refusal) => forwarded.push(one),
    };
    sink.forwardTo(caller as unknown as types.Sink);
    expect(forwarded).to.deep.equal([refusal]);
  });
});
