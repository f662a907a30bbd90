import { expect } from "chai";
import { gateway } from "../../src/mod.ts";

const SIGNED = { status: 200, isSigned: true };

describe("response verdict", () => {
  type Case = [facts: gateway.ResponseFacts, kind: string];
  const cases: Case[] = [];
  for (const isNotRun of [false, true]) {
    const believed = isNotRun ? "not-run" : "answer";
    for (const isConnectionReused of [false, true]) {
      const facts = { ...SIGNED, isConnectionReused, isNotRun };
      cases.push([{ ...facts, identity: "own" }, believed]);
      cases.push([{ ...facts, identity: "other" }, "foreign"]);
    }
    const facts = { ...SIGNED, identity: "none", isNotRun } as const;
    cases.push([{ ...facts, isConnectionReused: false }, believed]);
    cases.push([{ ...facts, isConnectionReused: true }, "foreign"]);
  }
  for (
    const [status, kind] of [
      [200, "unsigned"],
      [204, "unsigned"],
      [299, "unsigned"],
      [304, "answer"],
      [404, "answer"],
      [408, "unconfirmed-refusal"],
      [421, "unconfirmed-refusal"],
      [429, "unconfirmed-refusal"],
      [503, "unconfirmed-refusal"],
      [500, "answer"],
    ] as const
  ) {
    cases.push([{
      status,
      identity: "own",
      isConnectionReused: false,
      isNotRun: false,
      isSigned: false,
    }, kind]);
  }
  for (const status of [0, 99, 101, 199, 600, 999]) {
    for (const isNotRun of [false, true]) {
      cases.push([{
        status,
        identity: "own",
        isConnectionReused: false,
        isNotRun,
        isSigned: true,
      }, "no-answer"]);
    }
  }
  cases.push([{
    status: 599,
    identity: "own",
    isConnectionReused: false,
    isNotRun: false,
    isSigned: true,
  }, "answer"]);
  for (const [facts, kind] of cases) {
    it(`is ${kind} for ${JSON.stringify(facts)}`, () => {
      expect(gateway.judgeResponse(facts).kind).to.equal(kind);
    });
  }
});
