import { expect } from "chai";
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
      scenario.caller(host).chat(MODEL, `bystander ${host}`, PATIENT)
    );
    const crashing = scenario.caller(1).chat(MODEL, MARKER, PATIENT);
    for (const reply of await Promise.all(bystanders)) {
      expect(reply.status, reply.text).to.equal(200);
    }
    const reply = await crashing;
    expect(reply.status).to.be.oneOf([422, 502, 503, 504]);
    expect(reply.outcome).to.equal("may-have-run");
  });

  it("is refused truthfully when its caller sends it at another host", async () => {
    const reply = await scenario.caller(2).chat(MODEL, MARKER, PATIENT);
    expect(reply.status, reply.text).to.equal(422);
    expect(reply.outcome).to.equal("not-run");
    const crashed = scenario.engines.filter((engine) => !engine.isRunning);
    expect(crashed.length).to.be.at.most(2);
  });
});
