import * as timers from "node:timers/promises";
import type { fakeBackend } from "@ebonypath/testing";
import { expect } from "chai";
import type * as caller from "./caller.ts";
import * as scenarios from "./scenario.ts";

const { MODEL, PATIENT } = scenarios;
const MARKER = "crash-the-engine";

describe("a request that crashes each server that runs it", () => {
  let scenario: scenarios.Scenario;

  before(async () => {
    scenario = await scenarios.Scenario.start({
      engines: [{ tokenMs: 5 }, { tokenMs: 5 }, { tokenMs: 5 }, { tokenMs: 5 }],
    });
    await scenario.caller(0).chat(MODEL, "load the model");
    for (const engine of scenario.engines) engine.faults.crashMarker = MARKER;
  });

  after(async () => await scenario?.[Symbol.asyncDispose]());

  it("takes two servers at most, and its bystanders are served", async () => {
    const bystanders = [0, 1, 2].map((host) =>
      scenario.caller(host).chat(MODEL, `bystander ${host}`, {}, PATIENT)
    );
    const crashing = scenario.caller(1).chat(MODEL, MARKER, {}, PATIENT);
    for (const reply of await Promise.all(bystanders)) {
      expect(reply.status, reply.text).to.equal(200);
    }
    const reply = await crashing;
    expect(reply.status).to.be.oneOf([422, 502, 503, 504]);
    expect(reply.outcome).to.equal("may-have-run");
  });

  it("is refused truthfully when its caller sends it at another host", async () => {
    const reply = await scenario.caller(2).chat(MODEL, MARKER, {}, PATIENT);
    expect(reply.status, reply.text).to.equal(422);
    expect(reply.outcome).to.equal("not-run");
    const crashed = scenario.engines.filter((engine) => !engine.isRunning);
    expect(crashed.length).to.be.at.most(2);
  });
});

/** Time after which a crashed engine is started again, in milliseconds. */
const RESTART_MS = 300;

/** Starts crashed engines again, as a supervisor does. */
class Supervisor implements AsyncDisposable {
  crashes = 0;
  readonly #engines: readonly fakeBackend.FakeBackend[];
  readonly #timer: NodeJS.Timeout;
  readonly #starting = new Map<fakeBackend.FakeBackend, Promise<void>>();

  constructor(engines: readonly fakeBackend.FakeBackend[]) {
    this.#engines = engines;
    this.#timer = setInterval(() => this.#look(), 10);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.#timer);
    await Promise.all(this.#starting.values());
  }

  #look(): void {
    for (const engine of this.#engines) {
      if (engine.isRunning || this.#starting.has(engine)) continue;
      this.crashes += 1;
      this.#starting.set(engine, this.#restart(engine));
    }
  }

  async #restart(engine: fakeBackend.FakeBackend): Promise<void> {
    await timers.setTimeout(RESTART_MS);
    await engine.restart();
    this.#starting.delete(engine);
  }
}

describe("a crashing request before servers that start again at once", () => {
  let scenario: scenarios.Scenario;

  before(async () => {
    scenario = await scenarios.Scenario.start({
      engines: [{ tokenMs: 5 }, { tokenMs: 5 }, { tokenMs: 5 }],
    });
    for (const engine of scenario.engines) engine.faults.crashMarker = MARKER;
  });

  after(async () => await scenario?.[Symbol.asyncDispose]());

  it("is quarantined after two crashes however often it is sent", async () => {
    await using supervisor = new Supervisor(scenario.engines);
    const replies: caller.Reply[] = [];
    for (let number = 0; number < 6; number += 1) {
      const host = number % 3;
      replies.push(
        await scenario.caller(host).chat(MODEL, MARKER, {}, PATIENT),
      );
    }
    const last = replies.at(-1);
    expect(last?.status, last?.text).to.equal(422);
    expect(last?.outcome).to.equal("not-run");
    expect(supervisor.crashes).to.be.at.most(2);
  });
});
