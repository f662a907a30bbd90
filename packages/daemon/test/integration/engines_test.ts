import { type fakeBackend, wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as caller from "./caller.ts";
import * as scenarios from "./scenario.ts";

const { MODEL } = scenarios;
/** Longest pause within a stream in these tests, in milliseconds. */
const IDLE_MS = 400;
/** Wait of the connected tier, in milliseconds, with a margin. */
const TIER_MS = 5_000 + 1_500;

/** Two replicas, so that a request can be served elsewhere at once. */
const LOADED = { model: MODEL, version: "1", bytes: 10 * 2 ** 30 };

type Faults = Partial<fakeBackend.Faults>;

describe("model engines with faults", () => {
  let scenario: scenarios.Scenario;

  before(async () => {
    scenario = await scenarios.Scenario.start({
      limits: { "stream_idle_timeout_ms": IDLE_MS },
      engines: [
        { tokenMs: 10, loaded: [LOADED] },
        { tokenMs: 10, loaded: [LOADED] },
        { tokenMs: 10 },
      ],
    });
    // A new leader takes what servers hold over a moment after it leads.
    let seen = "";
    await wait.waitFor("two engines that serve", async () => {
      const texts = ["warm", "warm", "warm", "warm"];
      const replies = await Promise.all(
        texts.map((text) => scenario.caller().chat(MODEL, text)),
      );
      const used = scenario.engines.filter(({ journal }) =>
        journal.calls.length > 0
      );
      const { servers } = await scenario.fleet.host(0).operator.status();
      seen = JSON.stringify({
        statuses: replies.map(({ status }) => status),
        calls: scenario.engines.map(({ journal }) => journal.calls.length),
        servers,
      });
      return used.length >= 2;
    }, { describe: () => seen });
  });

  after(async () => await scenario?.[Symbol.asyncDispose]());

  afterEach(async () => {
    for (const engine of scenario.engines) {
      engine.clearFaults();
      if (!engine.isRunning) await engine.restart();
    }
    await scenario.waitUntilKnown();
    expect(scenario.violations).to.deep.equal([]);
  });

  function setFaults(faults: Faults, engines = scenario.engines): void {
    for (const engine of engines) Object.assign(engine.faults, faults);
  }

  /** Asks a warm model and returns the engine that answered. */
  async function warmEngine(): Promise<fakeBackend.FakeBackend> {
    const reply = await scenario.caller().chat(MODEL, "warm");
    expect(reply.status, reply.text).to.equal(200);
    const engine = scenario.engines.find((one) =>
      one.journal.calls.at(-1)?.body.includes("warm")
    );
    return engine as fakeBackend.FakeBackend;
  }

  const healed: Array<{ title: string; faults: Faults }> = [
    { title: "cuts the connection", faults: { lostAnswers: true } },
    { title: "refuses", faults: { refusesRequests: true } },
    { title: "dies with the request", faults: { crashMarker: "question" } },
  ];
  for (const { title, faults } of healed) {
    it(`serve a request whose engine ${title}`, async () => {
      const engine = await warmEngine();
      setFaults(faults, [engine]);
      const reply = await scenario.caller(1).chat(MODEL, "question");
      expect(caller.isAnswerTo("question", reply), reply.text).to.equal(true);
    });
  }

  it("serve a request whose engine turned cold", async () => {
    await warmEngine();
    for (const engine of scenario.engines) engine.turnCold();
    const reply = await scenario.caller(1).chat(MODEL, "question");
    expect(caller.isAnswerTo("question", reply), reply.text).to.equal(true);
  });

  const streams: Array<{ title: string; faults: Faults }> = [
    { title: "cut", faults: { cutStreams: true } },
    { title: "silent", faults: { silentStreams: true } },
  ];
  for (const { title, faults } of streams) {
    it(`end a ${title} stream with an error event`, async () => {
      await warmEngine();
      setFaults(faults);
      const stream = { stream: true };
      const reply = await scenario.caller(2).chat(MODEL, "question", stream);
      expect(reply.text).to.match(/event: error\ndata: .*"may-have-run"/);
      expect(reply.text).not.to.include("[DONE]");
    });
  }

  it("never give a caller the answer of another", async () => {
    await warmEngine();
    setFaults({ crossed: true });
    const texts = Array.from({ length: 12 }, (_, index) => `q${index}`);
    const replies = await Promise.all(
      texts.map((text, index) => scenario.caller(index % 3).chat(MODEL, text)),
    );
    for (const [index, reply] of replies.entries()) {
      const isOwn = caller.isAnswerTo(texts[index] as string, reply);
      expect(isOwn || reply.status >= 500, reply.text).to.equal(true);
    }
  });

  it("refuse in time when the answer is late", async () => {
    await warmEngine();
    setFaults({ lateMs: 2 * TIER_MS });
    const startedAt = performance.now();
    const reply = await scenario.caller(0).chat(MODEL, "question");
    expect(reply).to.include({ status: 504, outcome: "may-have-run" });
    expect(performance.now() - startedAt).to.be.lessThan(TIER_MS);
  });

  it("refuse in time, not run, while nothing can be loaded", async () => {
    setFaults({ refusesOrders: "failed" });
    for (const engine of scenario.engines) engine.turnCold();
    const startedAt = performance.now();
    const reply = await scenario.caller(1).chat(MODEL, "question");
    setFaults({ refusesOrders: undefined });
    expect(reply.outcome).to.equal("not-run");
    expect([503, 504]).to.include(reply.status);
    expect(performance.now() - startedAt).to.be.lessThan(TIER_MS);
  });
});
