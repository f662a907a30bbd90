import { expect } from "chai";
import * as timers from "node:timers/promises";
import * as fleet from "../../src/fleet/mod.ts";

const LIMITS = { attemptMs: 20, totalMs: 45, retryable: true };
/** Time that the leader needs for an answer, in milliseconds. */
const ANSWER_MS = 15;

describe("leader client", () => {
  it("asks silent control hosts last, so that a call has time for the leader", async () => {
    const asked: string[] = [];
    const client = new fleet.LeaderClient({
      async call(peer, method, _params, timeoutMs) {
        asked.push(peer);
        if (peer === "leader" && timeoutMs >= ANSWER_MS) return "done";
        if (peer !== "leader") await timers.setTimeout(timeoutMs + 1);
        throw new fleet.OutcomeUnknown(method, peer, "no answer");
      },
    }, ["silent-1", "silent-2", "leader"]);
    await client.call("m", {}, LIMITS).then(
      () => expect.fail("the silent hosts left time"),
      (error) => expect(error).to.be.instanceOf(fleet.OutcomeUnknown),
    );
    asked.length = 0;
    expect(await client.call("m", {}, LIMITS)).to.equal("done");
    expect(asked).to.deep.equal(["leader"]);
  });

  it("makes parameters anew for each attempt", async () => {
    const sent: unknown[] = [];
    const client = new fleet.LeaderClient({
      call(peer, method, params) {
        sent.push(params);
        if (sent.length === 2) return Promise.resolve("done");
        const lost = new fleet.OutcomeUnknown(method, peer, "no answer");
        return Promise.reject(lost);
      },
    }, ["host-1", "host-2"]);
    let made = 0;
    await client.call("m", () => ({ made: ++made }), LIMITS);
    expect(sent).to.deep.equal([{ made: 1 }, { made: 2 }]);
  });
});
