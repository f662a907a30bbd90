import * as timers from "node:timers/promises";
import { replication } from "@ebonypath/protocol";
import { expect } from "chai";
import * as fleet from "../../src/fleet/mod.ts";

const LIMITS = { attemptMs: 160, totalMs: 320, retryable: true };
const PEERS = ["silent-1", "silent-2", "leader", "follower-1", "follower-2"];
/** Time that the leader takes to answer, in milliseconds. */
const ANSWER_MS = 20;
/** Calls within which a sound leader has to be found again. */
const CALLS = 4;

describe("the search for the leader", () => {
  it("reaches a leader that was late once while two other hosts are silent", async () => {
    let isLate = false;
    const client = new fleet.LeaderClient({
      async call(peer, method, _params, timeoutMs) {
        const isQuestion = method === replication.LEADER_METHOD;
        if (peer.startsWith("follower")) {
          if (isQuestion) return { leader: "leader" };
          throw new fleet.NotLeader(method, peer, "leader");
        }
        const isAnswered = peer === "leader" && !isLate &&
          timeoutMs >= ANSWER_MS;
        await timers.setTimeout(isAnswered ? ANSWER_MS : timeoutMs);
        if (isAnswered) return isQuestion ? { leader: "leader" } : "done";
        throw new fleet.OutcomeUnknown(method, peer, "no answer");
      },
    }, PEERS);
    const call = () => client.call("m", {}, LIMITS).catch(() => "failed");
    await call();
    expect(await call()).to.equal("done");
    isLate = true;
    await client.call("m", {}, { ...LIMITS, totalMs: LIMITS.attemptMs })
      .catch(() => undefined);
    isLate = false;
    const outcomes: unknown[] = [];
    while (outcomes.length < CALLS && !outcomes.includes("done")) {
      outcomes.push(await call());
    }
    expect(outcomes).to.include("done");
  });
});
