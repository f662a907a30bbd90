import type { configuration as protocol } from "@ebonypath/protocol";
import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import type * as caller from "./caller.ts";
import * as scenarios from "./scenario.ts";

const GIB = 2 ** 30;
const COLD_MODELS = 8;
const STORE_MS = 300;
/** The store has a quarter of its usual bandwidth and starts. */
const SLOWDOWN = 4;
/** Loads that the store bears at once. */
const CONCURRENT_LOADS = 4;
/** Wait of the tier `now`, with time for the answer to arrive. */
const LATEST_MS = 6_000;

/** The usual configuration with further models, which nobody has asked for. */
function configuration(): protocol.Configuration {
  const { services, ...rest } = scenarios.CONFIGURATION;
  const [advice, ...others] = services;
  if (advice?.kind !== "model") throw new TypeError("no model service");
  const [model] = advice.models;
  if (model === undefined) throw new TypeError("no model");
  const cold = Array.from({ length: COLD_MODELS }, (_, index) => ({
    ...model,
    name: `cold-${index}`,
    adapters: [],
    maxReplicas: 1,
  }));
  const models = [...advice.models, ...cold];
  return { ...rest, services: [{ ...advice, models }, ...others] };
}

/** How a call ended, and after what time. */
interface Ended {
  readonly reply: caller.Reply;
  readonly tookMs: number;
}

async function ask(
  scenario: scenarios.Scenario,
  host: number,
  model: string,
): Promise<Ended> {
  const startedAt = performance.now();
  const reply = await scenario.caller(host).chat(model, "question");
  return { reply, tookMs: performance.now() - startedAt };
}

/** Asks for a loaded model again and again until something has ended. */
async function askWhile(
  scenario: scenarios.Scenario,
  ended: Promise<unknown>,
): Promise<Ended[]> {
  const answers: Ended[] = [];
  let isOver = false;
  void ended.finally(() => isOver = true);
  while (!isOver) {
    answers.push(await ask(scenario, answers.length % 3, scenarios.MODEL));
  }
  return answers;
}

describe("slow weight store", () => {
  it("is not overloaded, and what it cannot load in time is refused", async () => {
    await using scenario = await scenarios.Scenario.start({
      configuration: configuration(),
      engines: Array.from({ length: 4 }, () => ({
        memoryBytes: 48 * GIB,
        loadTimes: { storeMs: STORE_MS },
      })),
    });
    scenario.store.slowdown = SLOWDOWN;
    const asked = Promise.all(
      Array.from(
        { length: COLD_MODELS },
        (_, index) => ask(scenario, index % 3, `advice/cold-${index}`),
      ),
    );
    const meanwhile = await askWhile(scenario, asked);
    const cold = await asked;
    for (const { reply, tookMs } of cold) {
      if (reply.status !== 200) {
        expect(reply.outcome, reply.text).to.equal("not-run");
      }
      expect(tookMs, reply.text).to.be.below(LATEST_MS);
    }
    const answered = cold.filter(({ reply }) => reply.status === 200);
    expect(answered.length).to.be.within(1, COLD_MODELS - 1);
    for (const { reply } of meanwhile) expect(reply.status).to.equal(200);
    expect(scenario.store.mostInFlight).to.be.at.most(CONCURRENT_LOADS);

    scenario.store.slowdown = 1;
    for (let index = 0; index < COLD_MODELS; index++) {
      await wait.waitFor(`an answer of cold-${index}`, async () => {
        const { reply } = await ask(scenario, 0, `advice/cold-${index}`);
        return reply.status === 200 || undefined;
      });
    }
    expect(scenario.store.mostInFlight).to.be.at.most(CONCURRENT_LOADS);
    expect(scenario.violations).to.deep.equal([]);
  });
});
