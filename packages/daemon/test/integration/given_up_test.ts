import { faultProxy, freePort, wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as caller from "./caller.ts";
import * as scenarios from "./scenario.ts";

/** Time that the server takes for a call that is given up, in milliseconds. */
const LONG_CALL_MS = 9_000;
/** Longest wait for a service after the call has ended, in milliseconds. */
const FREED_MS = 8_000;

describe("a server that bears one request, behind silent connections", () => {
  let proxy: faultProxy.FaultProxy;
  let scenario: scenarios.Scenario;

  before(async () => {
    const port = await freePort.freePort();
    proxy = await faultProxy.startFaultProxy({ target: `127.0.0.1:${port}` });
    scenario = await scenarios.Scenario.start({
      plains: [{
        port,
        announcedAddress: `http://${proxy.address}`,
        concurrency: 1,
        faults: { reportLagMs: 1_000 },
      }],
    });
  });

  after(async () => {
    await scenario?.[Symbol.asyncDispose]();
    await proxy?.[Symbol.asyncDispose]();
  });

  function stock(host: number): Promise<caller.Reply> {
    return scenario.caller(host).call("GET", "/services/orders/stock/1");
  }

  /** Begins a long call at the server and silences its connection. */
  async function silence(begin: () => Promise<caller.Reply>) {
    const [plain] = scenario.plains;
    const { length } = plain!.journal.calls;
    plain!.faults.lateMs = LONG_CALL_MS;
    const reply = begin();
    await wait.waitFor("the call at the server", () => plain!.running > 0);
    plain!.faults.lateMs = 0;
    proxy.blackholeOpen();
    return { reply, plain: plain!, call: plain!.journal.calls[length]! };
  }

  /** Calls from all hosts until one is served; the long call has ended then. */
  async function callUntilServed(
    { plain, call }: Awaited<ReturnType<typeof silence>>,
  ): Promise<void> {
    const served = await wait.waitFor("a service after it", async () => {
      const replies = await Promise.all([0, 1, 2].map(stock));
      return replies.some(({ status }) => status === 200);
    }, { timeoutMs: LONG_CALL_MS + FREED_MS });
    expect(served).to.equal(true);
    expect(call.outcome).to.equal("answered");
    expect(plain.journal.violations).to.deep.equal([]);
    await scenario.waitUntilServing();
  }

  it("gets no second one while it runs a call that may be repeated", async () => {
    const silenced = await silence(() => stock(0));
    await callUntilServed(silenced);
    const reply = await silenced.reply;
    expect(reply.outcome, reply.text).to.equal("may-have-run");
  });

  it("gets no second one while it runs a call that may not", async () => {
    const silenced = await silence(() => scenario.caller(0).order("once"));
    const reply = await silenced.reply;
    expect(reply.outcome, reply.text).to.equal("may-have-run");
    await callUntilServed(silenced);
    expect(scenario.executionsOf("once")).to.equal(1);
  });
});
