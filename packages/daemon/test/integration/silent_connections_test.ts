import { faultProxy, freePort } from "@ebonypath/testing";
import { expect } from "chai";
import * as caller from "./caller.ts";
import * as scenarios from "./scenario.ts";

const { MODEL, PATIENT } = scenarios;

describe("connections to a backend server that went silent", () => {
  let proxy: faultProxy.FaultProxy;
  let scenario: scenarios.Scenario;

  before(async () => {
    const port = await freePort.freePort();
    proxy = await faultProxy.startFaultProxy({ target: `127.0.0.1:${port}` });
    scenario = await scenarios.Scenario.start({
      engines: [{ port, announcedAddress: `http://${proxy.address}` }],
    });
  });

  after(async () => {
    await scenario?.[Symbol.asyncDispose]();
    await proxy?.[Symbol.asyncDispose]();
  });

  it("are replaced: what may run again is answered before its deadline", async () => {
    const warm = await scenario.caller(0).chat(MODEL, "warm", {}, PATIENT);
    expect(warm.status, warm.text).to.equal(200);
    const accepted = proxy.accepted;
    proxy.blackholeOpen();
    const reply = await scenario.caller(0).chat(MODEL, "question", {}, PATIENT);
    expect(caller.isAnswerTo("question", reply), reply.text).to.equal(true);
    expect(proxy.accepted).to.be.above(accepted);
  });
});
