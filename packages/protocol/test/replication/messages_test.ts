import { expect } from "chai";
import * as v from "valibot";
import * as replication from "../../src/replication/mod.ts";

describe("replication messages", () => {
  const append = {
    kind: "append",
    term: 2,
    previousIndex: 0,
    previousTerm: 0,
    entries: [{ index: 1, term: 2, payload: { kind: "noop" } }],
    commitIndex: 0,
    sentAt: 12.5,
  };
  const invalid = [
    { name: "unknown kind", message: { ...append, kind: "other" } },
    { name: "negative index", message: { ...append, previousIndex: -1 } },
    { name: "fractional term", message: { ...append, term: 1.5 } },
    { name: "entry without payload", message: { ...append, entries: [{}] } },
  ];

  it("accepts an append", () => {
    expect(v.parse(replication.messageSchema, append)).to.deep.equal(append);
  });

  for (const { name, message } of invalid) {
    it(`rejects a message with ${name}`, () => {
      expect(v.is(replication.messageSchema, message)).to.equal(false);
    });
  }
});
