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
  kept: string | RegExp,
][] = [
  ["text", Buffer.from("ok: ä"), 201, "ok: ä"],
  ["an empty body", Buffer.alloc(0), 201, ""],
  ["a body at the limit", Buffer.alloc(MAX_BYTES, "a"), 201, "aaaaaaaa"],
  ["a body over the limit", Buffer.alloc(9, "a"), 409, /more than 8 bytes/],
  ["text over the limit as JSON", Buffer.from("\n\n\n\n\n"), 409, /8 bytes/],
  ["bytes that are no text", Buffer.from([0xff, 0xfe]), 201, "//4="],
];

describe("collecting sink", () => {
  for (const [title, body, status, kept] of CASES) {
    it(`keeps ${title} as ${status} and passes the whole on`, () => {
      const sink = new collecting.CollectingSink(MAX_BYTES);
      const headers = { "content-type": "text/plain" };
      sink.answer({ status: 201, headers, body });
      const answer: protocol.state.Answer = sink.collected;
      expect(answer.status).to.equal(status);
      expect(answer.outcome).to.equal("ran");
      if (typeof kept === "string") expect(answer.body).to.equal(kept);
      else expect(JSON.parse(answer.body).detail).to.match(kept);
      const passed: types.CompleteAnswer[] = [];
      const caller = {
        answer: (whole: types.CompleteAnswer) => passed.push(whole),
      };
      sink.forwardTo(caller as unknown as types.Sink);
      expect(passed).to.deep.equal([{ status: 201, headers, body }]);
    });
  }

  it("passes a refusal on with all that it says", () => {
    const sink = new collecting.CollectingSink(MAX_BYTES);
    const refusal = new protocol.errors.Refusal(
      protocol.errors.RATE_EXCEEDED,
      "no tokens",
      { retryAfterSeconds: 1 },
    );
    sink.refuse(refusal);
    const passed: protocol.errors.Refusal[] = [];
    const caller = {
      refuse: (one: protocol.errors.Refusal) => passed.push(one),
    };
    sink.forwardTo(caller as unknown as types.Sink);
    expect(passed).to.deep.equal([refusal]);
  });
});
