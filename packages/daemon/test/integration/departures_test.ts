import { type fakeBackend, wait } from "@ebonypath/testing";
import { expect } from "chai";
import type * as caller from "./caller.ts";
import * as scenarios from "./scenario.ts";

const { MODEL } = scenarios;
/** Time after which a withdrawn server must get no new work, in ms. */
const WITHDRAWN_MS = 3_000;

/** Sends requests at all hosts until it is stopped. */
class Traffic {
  readonly replies: caller.Reply[] = [];
  readonly errors: Error[] = [];
  #isStopped = false;
  readonly #loops: Promise<void>[];

  constructor(scenario: scenarios.Scenario, hosts: readonly number[]) {
    this.#loops = hosts.map((host) => this.#run(scenario, host));
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    await Promise.all(this.#loops);
  }

  async #run(scenario: scenarios.Scenario, host: number): Promise<void> {
    for (let number = 0; !this.#isStopped; number += 1) {
      try {
        const text = `h${host}n${number}`;
        this.replies.push(await scenario.caller(host).chat(MODEL, text));
      } catch (error) {
        this.errors.push(error as Error);
      }
    }
  }
}

function expectAllServed(traffic: Traffic): void {
  const failed = traffic.replies.filter((reply) => reply.status !== 200);
  expect(failed.map((reply) => reply.text)).to.deep.equal([]);
  expect(traffic.errors).to.deep.equal([]);
}

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
    traffic: Traffic,
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
    const traffic = new Traffic(scenario, [0, 1, 2, 3]);
    await operator.moveFailureDomain(domain, "withdraw");
    await expectNoNewWork(engine, traffic);
    await operator.moveFailureDomain(domain, "restore");
    await traffic.stop();
    expectAllServed(traffic);
  });

  it("give a leaving engine no new work", async () => {
    const engine = busiestEngine();
    const traffic = new Traffic(scenario, [0, 1, 2]);
    engine.leave();
    await expectNoNewWork(engine, traffic);
    await traffic.stop();
    await engine.restart();
    expectAllServed(traffic);
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
