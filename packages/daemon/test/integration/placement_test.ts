import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as caller from "./caller.ts";
import * as scenarios from "./scenario.ts";

const GIB = 2 ** 30;
const { MODEL, OTHER_MODEL, ADAPTER } = scenarios;

describe("loads of models", () => {
  it("load no more replicas than the configuration allows", async () => {
    await using scenario = await scenarios.Scenario.start({
      engines: [{}, {}, {}, {}],
    });
    const texts = Array.from({ length: 60 }, (_, index) => `q${index}`);
    const replies = await Promise.all(
      texts.map((text, index) => scenario.caller(index % 3).chat(MODEL, text)),
    );
    for (const reply of replies) expect(reply.status, reply.text).to.equal(200);
    const replicas = scenario.engines.filter((engine) =>
      engine.loaded.some((loaded) => loaded.model === MODEL)
    );
    expect(replicas.length).to.be.within(1, 2);
    expect(scenario.violations).to.deep.equal([]);
  });

  for (const checksFencing of [true, false]) {
    const title = checksFencing ? "checks" : "ignores";
    it(`never overcommit an engine that ${title} fencing`, async () => {
      await using scenario = await scenarios.Scenario.start({
        engines: [{ memoryBytes: 16 * GIB, checksFencing }],
      });
      for (const model of [MODEL, OTHER_MODEL, ADAPTER, OTHER_MODEL]) {
        const reply = await wait.waitFor(`an answer of ${model}`, async () => {
          const asked = await scenario.caller(1).chat(model, "question");
          return asked.status === 200 ? asked : undefined;
        });
        expect(caller.isAnswerTo("question", reply)).to.equal(true);
      }
      expect(scenario.violations).to.deep.equal([]);
    });
  }

  it("give a fresh engine no more than it bears", async () => {
    await using scenario = await scenarios.Scenario.start({
      engines: [{}],
    });
    await scenario.addEngine({
      firstTokenMs: 20,
      warmUp: { start: 2, perSuccess: 1 },
    });
    await scenario.engines[0]?.crash();
    const replies = await Promise.all(
      Array.from(
        { length: 60 },
        (_, index) =>
          scenario.caller(index % 3).chat(
            MODEL,
            `q${index}`,
            {},
            scenarios.PATIENT,
          ),
      ),
    );
    expect(scenario.violations).to.deep.equal([]);
    for (const reply of replies) expect(reply.status, reply.text).to.equal(200);
  });

  it("serve although an engine dies in the middle of a load", async () => {
    await using scenario = await scenarios.Scenario.start({
      engines: [{}, {}],
    });
    for (const engine of scenario.engines) {
      engine.faults.crashOnLoad = OTHER_MODEL;
    }
    const asked = scenario.caller(2).chat(
      OTHER_MODEL,
      "question",
      {},
      scenarios.PATIENT,
    );
    const dead = await wait.waitFor(
      "a death",
      () => scenario.engines.find((engine) => !engine.isRunning),
    );
    for (const engine of scenario.engines) {
      engine.faults.crashOnLoad = undefined;
    }
    const reply = await asked;
    expect(caller.isAnswerTo("question", reply), reply.text).to.equal(true);
    await dead.restart();
    await scenario.waitUntilKnown();
    expect(scenario.violations).to.deep.equal([]);
  });
});
