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

  it("tries a host last that was silent for what was left of a call", async () => {
    const calledPeers: string[] = [];
    const client = new fleet.LeaderClient({
      async call(peer, method, _params, timeoutMs) {
        calledPeers.push(peer);
        if (peer === "leader" && timeoutMs >= RESPONSE_MS) return "done";
        if (peer !== "leader") await timers.setTimeout(timeoutMs);
        throw new fleet.OutcomeUnknown(method, peer, "no answer");
      },
    }, ["silent-1", "silent-2", "leader"]);
    const limits = { attemptMs: 200, totalMs: 390, retryable: true };
    await client.call("m", {}, limits).then(
      () => expect.fail("the first call reached the leader"),
      (error) => expect(error).to.be.instanceOf(fleet.OutcomeUnknown),
    );
    calledPeers.length = 0;
    expect(await client.call("m", {}, limits)).to.equal("done");
    expect(calledPeers).to.deep.equal(["leader"]);
  });

  it("does not follow a host's hint to a leader that is silent", async () => {
    const calledPeers: string[] = [];
    const client = new fleet.LeaderClient({
      async call(peer, method, _params, timeoutMs) {
        calledPeers.push(peer);
        if (peer === "new-leader") return "done";
        if (peer === "follower") {
          throw new fleet.NotLeader(method, peer, "old-leader");
        }
        await timers.setTimeout(timeoutMs);
        throw new fleet.OutcomeUnknown(method, peer, "no answer");
      },
    }, ["old-leader", "follower", "new-leader"]);
    const limits = { attemptMs: 200, totalMs: 1_000, retryable: true };
    expect(await client.call("m", {}, limits)).to.equal("done");
    expect(calledPeers).to.deep.equal(["old-leader", "follower", "new-leader"]);
    calledPeers.length = 0;
    client.forgetLeader("new-leader");
    expect(await client.call("m", {}, limits)).to.equal("done");
    expect(calledPeers).to.deep.equal(["follower", "new-leader"]);
  });

  it("tries a silent leader again that only another host knows of", async () => {
    let isSilent = true;
    const client = new fleet.LeaderClient({
      async call(peer, method, _params, timeoutMs) {
        if (peer === "seed") {
          throw new fleet.NotLeader(method, peer, "leader");
        }
        if (!isSilent) return "done";
        await timers.setTimeout(timeoutMs);
        throw new fleet.OutcomeUnknown(method, peer, "no answer");
      },
    }, ["seed"]);
    const limits = { attemptMs: 100, totalMs: 180, retryable: true };
    await client.call("m", {}, limits).then(
      () => expect.fail("the silent leader answered"),
      (error) => expect(error).to.be.instanceOf(Error),
    );
    isSilent = false;
    expect(await client.call("m", {}, limits)).to.equal("done");
  });

  it("calls the leader that it is told of instead of one that went silent", async () => {
    let leader = "old-leader";
    const calledPeers: string[] = [];
    const client = new fleet.LeaderClient({
      async call(peer, method, _params, timeoutMs) {
        calledPeers.push(peer);
        if (peer === leader) return "done";
        await timers.setTimeout(timeoutMs);
        throw new fleet.OutcomeUnknown(method, peer, "no answer");
      },
    }, ["old-leader", "new-leader"]);
    await client.call("m", {}, LIMITS);
    leader = "new-leader";
    calledPeers.length = 0;
    client.setLeader("new-leader");
    await client.call("m", {}, LIMITS);
    expect(calledPeers).to.deep.equal(["new-leader"]);
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
