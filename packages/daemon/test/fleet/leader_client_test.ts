import { expect } from "chai";
import * as timers from "node:timers/promises";
import * as fleet from "../../src/fleet/mod.ts";

const LIMITS = { attemptMs: 200, totalMs: 450, retryable: true };
/** Response time of the leader, in milliseconds. */
const RESPONSE_MS = 150;

describe("leader client", () => {
  it("tries unresponsive control hosts last, so that the leader is reached before the timeout", async () => {
    const calledPeers: string[] = [];
    const client = new fleet.LeaderClient({
      async call(peer, method, _params, timeoutMs) {
        calledPeers.push(peer);
        if (peer === "leader" && timeoutMs >= RESPONSE_MS) return "done";
        if (peer !== "leader") await timers.setTimeout(timeoutMs + 1);
        throw new fleet.OutcomeUnknown(method, peer, "no answer");
      },
    }, ["unresponsive-1", "unresponsive-2", "leader"]);
    await client.call("m", {}, LIMITS).then(
      () => expect.fail("the first call reached the leader before its timeout"),
      (error) => expect(error).to.be.instanceOf(fleet.OutcomeUnknown),
    );
    calledPeers.length = 0;
    expect(await client.call("m", {}, LIMITS)).to.equal("done");
    expect(calledPeers).to.deep.equal(["leader"]);
  });

  it("creates the parameters again for each attempt", async () => {
    const sent: unknown[] = [];
    const client = new fleet.LeaderClient({
      call(peer, method, params) {
        sent.push(params);
        if (sent.length === 2) return Promise.resolve("done");
        const error = new fleet.OutcomeUnknown(method, peer, "no answer");
        return Promise.reject(error);
      },
    }, ["host-1", "host-2"]);
    let created = 0;
    await client.call("m", () => ({ attempt: ++created }), LIMITS);
    expect(sent).to.deep.equal([{ attempt: 1 }, { attempt: 2 }]);
  });
});
