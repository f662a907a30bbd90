import { Buffer } from "node:buffer";
import type * as http from "node:http";
import * as protocol from "@ebonypath/protocol";
import { expect } from "chai";
import * as deferred from "../../src/entry/deferred.ts";
import type * as types from "../../src/entry/types.ts";

const WORKSPACE = "partner";

interface Case {
  readonly title: string;
  readonly body: Buffer;
  readonly result: protocol.state.CommandResult;
  readonly refusal: protocol.errors.Definition;
  /** Commands that were proposed. */
  readonly proposed: number;
}

const TEXT = Buffer.from("{}");
const CASES: readonly Case[] = [
  {
    title: "a body that is no text",
    body: Buffer.from([0xff, 0xfe]),
    result: { kind: "done", index: 1 },
    refusal: protocol.errors.INVALID_REQUEST,
    proposed: 0,
  },
  {
    title: "an idempotency key of another request",
    body: TEXT,
    result: { kind: "claim-conflict" },
    refusal: protocol.errors.IDEMPOTENCY_CONFLICT,
    proposed: 1,
  },
  {
    title: "a request for which there is no room",
    body: TEXT,
    result: { kind: "full", reason: "too many" },
    refusal: protocol.errors.NO_CAPACITY,
    proposed: 1,
  },
];

function workWith(body: Buffer): types.Work {
  const work: Partial<types.Work> = {
    requestId: "r-1",
    service: "advice",
    target: "advice/last",
    method: "POST",
    path: "/v1/chat/completions",
    body,
    idempotent: true,
    tier: {
      name: "later",
      maxWaitMs: 1_000,
      priceFactor: 1,
      delivery: "deferred",
    },
  };
  return work as types.Work;
}

describe("acceptance of deferred requests", () => {
  for (const { title, body, result, refusal, proposed } of CASES) {
    it(`refuses ${title}`, async () => {
      let count = 0;
      const propose = () => {
        count += 1;
        return Promise.resolve(result);
      };
      const requests = new deferred.DeferredRequests(
        { proposer: { propose } } as unknown as deferred.DeferredOptions,
      );
      const response = {} as http.ServerResponse;
      const accepted = requests.accept(
        workWith(body),
        WORKSPACE,
        "key-1",
        "application/json",
        response,
      );
      const error = await accepted.then(() => undefined, (cause) => cause);
      expect(error).to.be.instanceOf(protocol.errors.Refusal);
      expect(error.definition).to.equal(refusal);
      expect(count).to.equal(proposed);
    });
  }
});
