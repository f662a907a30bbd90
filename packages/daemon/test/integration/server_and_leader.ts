import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as caller from "./caller.ts";
import * as scenarios from "./scenario.ts";

const { MODEL, OTHER_MODEL, PATIENT } = scenarios;
const GIB = 2 ** 30;
/** Replicas that the configuration allows of a model. */
const MAX_REPLICAS = 2;
/** Time between two looks at the replicas, in milliseconds. */
const LOOK_MS = 5;
/** Hosts that may lead; callers ask another one. */
const VOTERS = 3;
/** Log lines of a host that a failed case prints. */
const PRINTED_LINES = 80;
/** Longest wait for service after both have died, in milliseconds. */
const SERVED_MS = 20_000;

/** Describes what happens when a backend server and the leader die together. */
export function describeServerAndLeader(): void {
  describe("a backend server and the leader that die together", describeCases);
}

function describeCases(): void {
  let scenario: scenarios.Scenario;
  let looks: NodeJS.Timeout;
  /** Most replicas seen at once, by model. */
  const most = new Map<string, number>();

  before(async () => {
    scenario = await scenarios.Scenario.start({
      hosts: VOTERS + 1,
      voters: VOTERS,
      // One model fits on each.
      engines: Array.from({ length: 4 }, (_, index) => ({
        memoryBytes: 16 * GIB,
        checksFencing: index % 2 === 0,
        firstTokenMs: 50,
        tokenMs: 100,
        generatedTokens: 10,
      })),
      plains: [{ callMs: 400 }, { callMs: 400 }],
    });
    looks = setInterval(look, LOOK_MS);
  });

  after(async () => {
    clearInterval(looks);
    await scenario?.[Symbol.asyncDispose]();
  });

  afterEach(async function () {
    if (this.currentTest?.state === "failed") printLogs();
    for (const host of scenario.fleet.hosts) {
      if (!host.isRunning) await host.restart();
    }
    for (const fake of scenario.fakes) {
      if (!fake.isRunning) await fake.restart();
    }
    await scenario.waitUntilKnown();
    await scenario.waitUntilServing();
    expect(scenario.violations).to.deep.equal([]);
    for (const [model, replicas] of most) {
      expect(replicas, model).to.be.at.most(MAX_REPLICAS);
    }
  });

  /** What the hosts decided about servers and models, for tracing. */
  function printLogs(): void {
    for (const { process } of scenario.fleet.hosts) {
      const lines = process.lines.filter((line) =>
        /part=(control|placement|orders|daemon|replication)/.test(line)
      );
      console.error(lines.slice(-PRINTED_LINES).join("\n"));
    }
  }

  function look(): void {
    for (const model of [MODEL, OTHER_MODEL]) {
      const count = scenario.engines
        .filter(({ loaded }) => loaded.some((one) => one.model === model))
        .length;
      most.set(model, Math.max(count, most.get(model) ?? 0));
    }
  }

  async function killLeaderAnd(fake: { crash(): Promise<void> }) {
    const leader = await scenario.leader();
    await Promise.all([leader.process.kill9(), fake.crash()]);
  }

  function running(model: string) {
    return scenario.engines.find(({ journal }) =>
      journal.calls.some((call) =>
        call.model === model && call.outcome === "running"
      )
    );
  }

  for (const model of [MODEL, OTHER_MODEL]) {
    it(`have ${model} placed elsewhere, and its calls answered`, async () => {
      const asked = scenario.caller(VOTERS);
      const warm = await asked.chat(model, "warm", {}, PATIENT);
      expect(warm.status, warm.text).to.equal(200);
      const unary = asked.chat(model, "unary", {}, PATIENT);
      const stream = asked.chat(model, "stream", { stream: true }, PATIENT);
      const engine = await wait.waitFor("the calls", () => running(model));
      await killLeaderAnd(engine);
      const reply = await unary;
      expect(caller.isAnswerTo("unary", reply), reply.text).to.equal(true);
      // A stream is whole, or says that it may have run.
      const { text } = await stream;
      expect(text).to.match(/data: \[DONE\]\n\n$|may-have-run/);
      await wait.waitFor("an answer of another server", async () => {
        const later = await asked.chat(model, "later", {}, PATIENT);
        return caller.isAnswerTo("later", later);
      }, { timeoutMs: SERVED_MS });
    });
  }

  it("tell of a call that may not be repeated what is true", async () => {
    const asked = scenario.caller(VOTERS);
    const id = "order-both";
    const first = asked.order(id, id);
    await scenario.waitUntilExecuted(id);
    const plain = scenario.plains
      .find(({ journal }) => journal.executionsOf(id) > 0);
    await killLeaderAnd(plain!);
    const reply = await first;
    expect(reply.outcome, reply.text).to.equal("may-have-run");
    const resent = await wait.waitFor("an outcome", async () => {
      const again = await asked.order(id, id);
      const isOpen = again.status === 503 ||
        again.text.includes("still-running");
      return isOpen ? undefined : again;
    }, { timeoutMs: SERVED_MS });
    expect(resent.outcome, resent.text).to.equal("may-have-run");
    expect(scenario.executionsOf(id)).to.equal(1);
  });

  it("leave no replica behind when the server starts again at once", async () => {
    const asked = scenario.caller(VOTERS);
    const call = asked.chat(MODEL, "restarted", {}, PATIENT);
    const engine = await wait.waitFor("the call", () => running(MODEL));
    await killLeaderAnd(engine);
    await engine.restart();
    const reply = await call;
    expect(caller.isAnswerTo("restarted", reply), reply.text).to.equal(true);
  });
}
