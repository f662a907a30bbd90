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

describe("what follows a failed try", () => {
  const cases: Array<{
    title: string;
    result: failedAttempt.FailedResult;
    idempotent: boolean;
    sent: number;
    then: "again" | protocol.errors.Outcome;
  }> = [
    {
      title: "a second death of its server after tries that were not sent",
      result: failure(true),
      idempotent: true,
      sent: 2,
      then: "again",
    },
    {
      title: "a third try that reached a server",
      result: failure(true),
      idempotent: true,
      sent: 3,
      then: "may-have-run",
    },
    {
      title: "a try that was not sent",
      result: failure(false),
      idempotent: false,
      sent: 0,
      then: "again",
    },
    {
      title: "a cut call that must not be repeated",
      result: failure(true),
      idempotent: false,
      sent: 1,
      then: "may-have-run",
    },
    {
      title: "a refusal by the server before it started",
      result: REFUSED,
      idempotent: true,
      sent: 0,
      then: "again",
    },
  ];
  for (const { title, result, idempotent, sent, then } of cases) {
    it(`${title}: ${then}`, async () => {
      const failed = {
        work: workOf(idempotent),
        result,
        mayHaveRun: false,
        sent,
        server: "engine-1",
      };
      const budget = new core.routing.RetryBudget(performance.now());
      const ended = await failedAttempt.awaitRetry(failed, budget)
        .then(() => "again", (error) => error.outcome);
      expect(ended).to.equal(then);
    });
  }
});
