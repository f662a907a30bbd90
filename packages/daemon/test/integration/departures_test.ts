import { type fakeBackend, wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as scenarios from "./scenario.ts";
import * as traffics from "./traffic.ts";

const { MODEL } = scenarios;
/** Time after which a withdrawn server must get no new work, in ms. */
const WITHDRAWN_MS = 3_000;

describe("departures during traffic", () => {
  let scenario: scenarios.Scenario;

  before(async () => {
    scenario = await scenarios.Scenario.start({
      hosts: 4,
      engines: [{ tokenMs: 5 }, { tokenMs: 5 }, { tokenMs: 5 }],
    });
  });

  after(async () => await scenario?.[Symbol.asyncDispose]());

  /** Waits until an engine gets no calls, and checks that it stays so. */
  async function expectNoNewWork(
    engine: fakeBackend.FakeBackend,
    traffic: traffics.Traffic,
  ): Promise<void> {
    const { calls } = engine.journal;
    await new Promise((resolve) => setTimeout(resolve, WITHDRAWN_MS));
    const count = calls.length;
    const seen = traffic.replies.length;
    await wait.waitFor(
      "more traffic",
      () => traffic.replies.length > seen + 50,
    );
    expect(calls.length).to.equal(count);
  }

  function busiestEngine(): fakeBackend.FakeBackend {
    const [first] = scenario.engines.toSorted((left, right) =>
      right.journal.calls.length - left.journal.calls.length
    );
    return first as fakeBackend.FakeBackend;
  }

  it("move work off a failure domain and back without an error", async () => {
    const engine = busiestEngine();
    const domain = engine.describe().failureDomain;
    const { operator } = scenario.fleet.host(0);
    const traffic = new traffics.Traffic(scenario, [0, 1, 2, 3]);
    await operator.moveFailureDomain(domain, "withdraw");
    await expectNoNewWork(engine, traffic);
    await operator.moveFailureDomain(domain, "restore");
    await traffic.stop();
    traffic.expectAllServed();
  });

  it("give a leaving engine no new work", async () => {
    const engine = busiestEngine();
    const traffic = new traffics.Traffic(scenario, [0, 1, 2]);
    engine.leave();
    await expectNoNewWork(engine, traffic);
    await traffic.stop();
    await engine.restart();
    traffic.expectAllServed();
  });

  it("cut no request when a host gets SIGTERM", async () => {
    const host = scenario.fleet.host(3);
    for (const engine of scenario.engines) engine.faults.lateMs = 300;
    const before = scenario.engines.flatMap((one) => one.journal.calls).length;
    const asked = scenario.caller(3);
    const open = [
      asked.chat(MODEL, "unary"),
      asked.chat(MODEL, "streamed", { stream: true }),
    ];
    await wait.waitFor("the requests", () => {
      const calls = scenario.engines.flatMap((one) => one.journal.calls);
      return calls.length >= before + open.length;
    });
    host.process.signal("SIGTERM");
    const [unary, streamed] = await Promise.all(open);
    expect(unary?.status, unary?.text).to.equal(200);
    expect(streamed?.text).to.match(/data: \[DONE\]\n\n$/);
    expect(await host.process.waitForExit()).to.deep.equal({
      code: 0,
      signal: null,
    });
    for (const engine of scenario.engines) engine.faults.lateMs = 0;
    await host.restart();
  });
});
