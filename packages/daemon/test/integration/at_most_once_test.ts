import { expect } from "chai";
import type * as caller from "./caller.ts";
import * as scenarios from "./scenario.ts";

/** Calls take this long at the plain service, in milliseconds. */
const CALL_MS = 300;

describe("non-idempotent calls", () => {
  let scenario: scenarios.Scenario;
  let number = 0;
  let orderId: string;

  before(async () => {
    scenario = await scenarios.Scenario.start({
      hosts: 4,
      voters: 3,
      plains: [{ callMs: CALL_MS }, { callMs: CALL_MS }],
    });
  });

  after(async () => await scenario?.[Symbol.asyncDispose]());

  beforeEach(() => {
    number += 1;
    orderId = `order-${number}`;
  });

  afterEach(async () => {
    expect(scenario.violations).to.deep.equal([]);
    for (const plain of scenario.plains) {
      plain.clearFaults();
      if (!plain.isRunning) await plain.restart();
    }
    for (const host of scenario.fleet.hosts) {
      if (!host.isRunning) await host.restart();
    }
    await scenario.waitUntilKnown();
  });

  it("run once and replay their answer at any host", async () => {
    const replies: caller.Reply[] = [];
    for (const host of [0, 1, 2, 3]) {
      replies.push(await scenario.caller(host).order(orderId, orderId));
    }
    expect(new Set(replies.map((reply) => reply.text)).size).to.equal(1);
    expect(replies.map((reply) => reply.status)).to.deep.equal(
      [200, 200, 200, 200],
    );
    expect(scenario.executionsOf(orderId)).to.equal(1);
  });

  it("run once when resent to all hosts at the same time", async () => {
    const replies = await Promise.all(
      [0, 1, 2, 3].map((host) => scenario.caller(host).order(orderId, orderId)),
    );
    const answered = replies.filter((reply) => reply.status === 200);
    expect(answered.length).to.be.at.least(1);
    for (const reply of replies) expect([200, 409]).to.include(reply.status);
    expect(scenario.executionsOf(orderId)).to.equal(1);
  });

  it("refuse a key that is reused for another request", async () => {
    await scenario.caller(0).order(orderId, orderId);
    const other = await scenario.caller(1).order(`${orderId}-b`, orderId);
    expect(other).to.include({ status: 409, outcome: "not-run" });
    expect(scenario.executionsOf(`${orderId}-b`)).to.equal(0);
  });

  for (const idempotencyKey of [true, false]) {
    const title = idempotencyKey ? "with a key" : "without a key";
    it(`${title} never run again after a lost answer`, async () => {
      for (const plain of scenario.plains) plain.faults.lostAnswers = true;
      const key = idempotencyKey ? orderId : undefined;
      const reply = await scenario.caller(0).order(orderId, key);
      expect(reply).to.include({ status: 502, outcome: "may-have-run" });
      for (const plain of scenario.plains) plain.faults.lostAnswers = false;
      if (idempotencyKey) {
        const resent = await scenario.caller(1).order(orderId, key);
        expect(resent.status).to.be.at.least(400);
        expect(resent.outcome).to.equal("may-have-run");
      }
      expect(scenario.executionsOf(orderId)).to.equal(1);
    });
  }

  it("never run again after the death of the server", async () => {
    for (const plain of scenario.plains) plain.faults.crashMarker = orderId;
    const reply = await scenario.caller(0).order(orderId, orderId);
    expect(reply.outcome).to.equal("may-have-run");
    const deaths = scenario.plains.filter((plain) => !plain.isRunning);
    expect(deaths.length).to.equal(1);
  });

  it("run elsewhere when no byte had gone out", async () => {
    const [first] = scenario.plains;
    await first?.crash();
    for (const part of ["a", "b", "c"]) {
      const id = `${orderId}-${part}`;
      const reply = await scenario.caller(1).order(id, id);
      expect(reply.status).to.equal(200);
      expect(scenario.executionsOf(id)).to.equal(1);
    }
  });

  it("run once although their host dies in the middle", async () => {
    const first = scenario.caller(3).order(orderId, orderId)
      .catch((error: Error) => error);
    await scenario.waitUntilExecuted(orderId);
    await scenario.fleet.host(3).process.kill9();
    expect(await first).to.be.instanceOf(Error);
    const resent = await scenario.caller(0).order(orderId, orderId);
    expect(resent).to.include({ status: 409, outcome: "may-have-run" });
    expect(scenario.executionsOf(orderId)).to.equal(1);
  });
});
