import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as caller from "./caller.ts";
import * as scenarios from "./scenario.ts";

/** Longest time from a cancellation to its answer, in milliseconds. */
const CANCEL_MS = 5_000;
const LATER = { headers: { "ebonypath-tier": "later" } };

describe("deferred requests", () => {
  let scenario: scenarios.Scenario;

  before(async () => {
    scenario = await scenarios.Scenario.start({
      hosts: 4,
      engines: [{ firstTokenMs: 50 }],
    });
  });

  after(async () => await scenario?.[Symbol.asyncDispose]());

  async function accept(host: number, text: string): Promise<string> {
    const asked = scenario.caller(host);
    const reply = await asked.chat(scenarios.MODEL, text, {}, LATER);
    expect(reply.status, reply.text).to.equal(202);
    return reply.headers["location"] as string;
  }

  async function collect(
    host: number,
    path: string,
    timeoutMs = 30_000,
  ): Promise<caller.Reply> {
    return await wait.waitFor("the answer", async () => {
      const reply = await scenario.caller(host).call("GET", path);
      return [202, 503].includes(reply.status) ? undefined : reply;
    }, { timeoutMs, intervalMs: 100 });
  }

  it("are answered at another host, for their workspace alone", async () => {
    const path = await accept(0, "restock");
    const reply = await collect(1, path);
    expect(caller.isAnswerTo("restock", reply), reply.text).to.equal(true);
    const other = await scenario.caller(2, "partner").call("GET", path);
    expect(other.status).to.equal(404);
  });

  it("can be cancelled while they wait for a server", async () => {
    for (const engine of scenario.engines) engine.faults.refusesRequests = true;
    const path = await accept(2, "cancelled");
    const cancelled = await scenario.caller(3).call("DELETE", path);
    expect(cancelled.status).to.equal(200);
    const reply = await collect(1, path);
    for (const engine of scenario.engines) {
      engine.faults.refusesRequests = false;
    }
    expect(reply.outcome, reply.text).to.equal("not-run");
  });

  it("can be cancelled while a host has them", async () => {
    for (const engine of scenario.engines) engine.faults.refusesRequests = true;
    const path = await accept(2, "assigned");
    await wait.waitFor("an assignment", async () => {
      const reply = await scenario.caller(0).call("GET", path);
      return reply.text.includes('"running"') || undefined;
    });
    const cancelled = await scenario.caller(3).call("DELETE", path);
    expect(cancelled.status).to.equal(200);
    const reply = await collect(1, path, CANCEL_MS);
    for (const engine of scenario.engines) {
      engine.faults.refusesRequests = false;
    }
    expect(reply.outcome, reply.text).to.equal("not-run");
  });

  it("leave their server when they are cancelled", async () => {
    const [engine] = scenario.engines;
    if (engine === undefined) throw new TypeError("no engine");
    engine.faults.lateMs = 60_000;
    const path = await accept(2, "running");
    await wait.waitFor("the execution", () => engine.running > 0 || undefined);
    const cancelled = await scenario.caller(3).call("DELETE", path);
    expect(cancelled.status).to.equal(200);
    const reply = await collect(1, path, CANCEL_MS);
    await wait.waitFor("the server's release", () => engine.running === 0);
    engine.faults.lateMs = 0;
    expect(reply.outcome, reply.text).to.equal("may-have-run");
  });
});
