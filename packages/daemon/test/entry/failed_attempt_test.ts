import { Buffer } from "node:buffer";
import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import { expect } from "chai";
import * as failedAttempt from "../../src/entry/failed_attempt.ts";
import type * as types from "../../src/entry/types.ts";

const REFUSED: failedAttempt.FailedResult = {
  kind: "refused",
  code: "not-loaded",
};

function failure(bytesSent: boolean): failedAttempt.FailedResult {
  return {
    kind: "failed",
    fault: "connection",
    bytesSent,
    bytesToCaller: false,
    mayStillRun: false,
    detail: "reset",
  };
}

function workOf(idempotent: boolean): types.Work {
  return {
    requestId: "r1",
    workspace: "web",
    keyDigest: null,
    service: "advice",
    target: "advice/last",
    method: "POST",
    path: "/v1/chat/completions",
    headers: {},
    priority: 1,
    body: Buffer.alloc(0),
    stream: false,
    idempotent,
    tokens: 1,
    tier: {
      name: "now",
      maxWaitMs: 60_000,
      priceFactor: 1,
      delivery: "connected",
    },
    deadline: performance.now() + 60_000,
    fingerprint: "f",
    affinity: null,
  };
}

describe("awaitRetry", () => {
  const cases: Array<{
    title: string;
    result: failedAttempt.FailedResult;
    idempotent: boolean;
    sent: number;
    expected: "retry" | protocol.errors.Outcome;
  }> = [
    {
      title: "a second server crash after attempts that were not sent",
      result: failure(true),
      idempotent: true,
      sent: 2,
      expected: "retry",
    },
    {
      title: "a third attempt that reached a server",
      result: failure(true),
      idempotent: true,
      sent: 3,
      expected: "may-have-run",
    },
    {
      title: "an attempt that was not sent",
      result: failure(false),
      idempotent: false,
      sent: 0,
      expected: "retry",
    },
    {
      title: "an interrupted call that must not be repeated",
      result: failure(true),
      idempotent: false,
      sent: 1,
      expected: "may-have-run",
    },
    {
      title: "a refusal by the server before it started the request",
      result: REFUSED,
      idempotent: true,
      sent: 0,
      expected: "retry",
    },
  ];
  for (const { title, result, idempotent, sent, expected } of cases) {
    it(`${title}: ${expected}`, async () => {
      const failed = {
        work: workOf(idempotent),
        result,
        mayHaveRun: false,
        sent,
        server: "engine-1",
      };
      const budget = new core.routing.RetryBudget(performance.now());
      const actual = await failedAttempt.awaitRetry(failed, budget)
        .then(() => "retry", (error) => error.outcome);
      expect(actual).to.equal(expected);
    });
  }
});
