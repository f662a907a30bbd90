import { expect } from "chai";
import { gateway } from "../../src/mod.ts";

describe("response verdict", () => {
  type Case = [facts: gateway.ResponseFacts, kind: string];
  const cases: Case[] = [];
  for (const isNotRun of [false, true]) {
    const believed = isNotRun ? "not-run" : "answer";
    for (const isConnectionReused of [false, true]) {
      const facts = { isConnectionReused, isNotRun };
      cases.push([{ ...facts, identity: "own" }, believed]);
      cases.push([{ ...facts, identity: "other" }, "foreign"]);
    }
    const facts = { identity: "none", isNotRun } as const;
    cases.push([{ ...facts, isConnectionReused: false }, believed]);
    cases.push([{ ...facts, isConnectionReused: true }, "foreign"]);
  }
  for (const [facts, kind] of cases) {
    it(`is ${kind} for ${JSON.stringify(facts)}`, () => {
      expect(gateway.judgeResponse(facts).kind).to.equal(kind);
    });
  }
});
