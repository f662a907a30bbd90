import { Buffer } from "node:buffer";
import type * as http from "node:http";
import * as protocol from "@ebonypath/protocol";
import { expect } from "chai";
import * as timers from "node:timers/promises";
import * as admission from "../../src/entry/admission.ts";
import * as deferred from "../../src/entry/deferred.ts";
import type * as types from "../../src/entry/types.ts";

const WORKSPACE = "partner";

interface Case {
  readonly title: string;
  readonly body: Buffer;
  readonly result: protocol.state.CommandResult;
  readonly refusal: protocol.errors.ProblemDefinition;
  /** Expected number of proposed commands. */
  readonly proposed: number;
}

const TEXT = Buffer.from("{}");
const CASES: readonly Case[] = [
  {
    title: "a body that is not text",
    body: Buffer.from([0xff, 0xfe]),
    result: { kind: "done", index: 1 },
    refusal: protocol.errors.INVALID_REQUEST,
    proposed: 0,
  },
  {
    title: "an idempotency key used by another request",
    body: TEXT,
    result: { kind: "claim-conflict" },
    refusal: protocol.errors.IDEMPOTENCY_CONFLICT,
    proposed: 1,
  },
  {
    title: "a request when the deferred store is full",
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

describe("DeferredRequests", () => {
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

  it("returns only waiting requests when its host drains", async () => {
    const sent: protocol.state.Command[] = [];
    const works = ["waiting", "running"].map((requestId) => ({
      ...workWith(TEXT),
      requestId,
    }));
    const restored = [...works];
    const requests = new deferred.DeferredRequests(
      {
        identity: { name: "entry-1", incarnation: "a", failureDomain: "d1" },
        maxAnswerBytes: 1_000,
        proposals: {
          send: (command: protocol.state.Command) => {
            sent.push(command);
            return Promise.resolve();
          },
        },
        restore: () => restored.shift(),
        run: (_: types.Work, sink: types.Sink, signal: AbortSignal) =>
          new Promise<void>((resolve) =>
            signal.addEventListener("abort", () => {
              sink.refuse(admission.callerDisconnected());
              resolve();
            })
          ),
      } as unknown as deferred.DeferredOptions,
    );
    requests.execute(works.map(({ requestId }, index) => ({
      id: requestId,
      assignment: index,
      request: {} as protocol.state.StoredRequest,
      remainingMs: 10_000,
    })));
    requests.returnWaiting(works.slice(0, 1));
    await timers.setImmediate();
    expect(sent).to.deep.equal([{
      kind: "return-deferred",
      id: "waiting",
      assignment: 0,
      host: "entry-1",
      hostIncarnation: "a",
    }]);
    expect(requests.executingCount).to.equal(1);
  });
});
