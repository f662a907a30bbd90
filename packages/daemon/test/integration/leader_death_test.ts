import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as caller from "./caller.ts";
import * as scenarios from "./scenario.ts";

/** Calls take this long at the plain service, in milliseconds. */
const CALL_MS = 300;
/** Longest wait for an outcome after a leader died, in milliseconds. */
const OUTCOME_TIMEOUT_MS = 20_000;

describe("work while the leader dies", () => {
  let scenario: scenarios.Scenario;
  let number = 0;
  let orderId: string;

  before(async () => {
    scenario = await scenarios.Scenario.start({
      hosts: 4,
      voters: 3,
      engines: [{ firstTokenMs: 50 }],
      plains: [{ callMs: CALL_MS }, { callMs: CALL_MS }],
    });
  });

  after(async () => await scenario?.[Symbol.asyncDispose]());

  beforeEach(() => {
    number += 1;
    orderId = `order-${number}`;
  });

  afterEach(async () => {
    for (const host of scenario.fleet.hosts) {
      if (!host.isRunning) await host.restart();
    }
    await scenario.waitUntilKnown();
    await scenario.waitUntilServing();
    expect(scenario.violations).to.deep.equal([]);
  });

  /** Kills the leader, and host 4 if asked; returns a host that lives. */
  async function killLeader(withHost: boolean): Promise<number> {
    const leader = await scenario.leader();
    await Promise.all([
      leader.process.kill9(),
      withHost ? scenario.fleet.host(3).process.kill9() : undefined,
    ]);
    return leader === scenario.fleet.host(0) ? 1 : 0;
  }

  async function resend(host: number): Promise<caller.Reply> {
    return await wait.waitFor("an outcome", async () => {
      const reply = await scenario.caller(host).order(orderId, orderId);
      const isOpen = reply.status === 503 ||
        reply.text.includes("still-running");
      return isOpen ? undefined : reply;
    }, { timeoutMs: OUTCOME_TIMEOUT_MS });
  }

  it("runs a call once and replays its answer", async () => {
    const first = scenario.caller(3).order(orderId, orderId);
    await scenario.waitUntilExecuted(orderId);
    const other = await killLeader(false);
    const reply = await first;
    expect(reply.status, reply.text).to.equal(200);
    const resent = await resend(other);
    expect(resent.text).to.equal(reply.text);
    expect(scenario.executionsOf(orderId)).to.equal(1);
  });

  it("runs a call once when its host dies as well", async () => {
    const first = scenario.caller(3).order(orderId, orderId)
      .catch((error: Error) => error);
    await scenario.waitUntilExecuted(orderId);
    const other = await killLeader(true);
    await first;
    const resent = await resend(other);
    expect(resent).to.include({ status: 409, outcome: "may-have-run" });
    expect(scenario.executionsOf(orderId)).to.equal(1);
  });

  it("keeps deferred requests when a host dies as well", async () => {
    const asked = scenario.caller(3);
    const accepted = await Promise.all(
      Array.from({ length: 12 }, async (_, index) => {
        const reply = await asked.chat(
          scenarios.MODEL,
          `kept${index}`,
          {},
          { headers: { "ebonypath-tier": "later" } },
        );
        expect(reply.status, reply.text).to.equal(202);
        return reply.headers["location"] as string;
      }),
    );
    const other = await killLeader(true);
    for (const [index, path] of accepted.entries()) {
      const reply = await wait.waitFor("an answer", async () => {
        const polled = await scenario.caller(other).call("GET", path);
        return [202, 503].includes(polled.status) ? undefined : polled;
      }, { timeoutMs: 40_000 });
      const isOwn = caller.isAnswerTo(`kept${index}`, reply);
      expect(isOwn || reply.outcome === "may-have-run", reply.text)
        .to.equal(true);
    }
  });
});
