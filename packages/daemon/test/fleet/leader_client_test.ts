import * as timers from "node:timers/promises";
import { replication } from "@ebonypath/protocol";
import { expect } from "chai";
import * as fleet from "../../src/fleet/mod.ts";

const LIMITS = { attemptMs: 200, totalMs: 450, retryable: true };
/** Response time of a slow leader, in milliseconds. */
const RESPONSE_MS = 20;
/** Ends before the search has given the second silent host up. */
const SHORT_LIMITS = { ...LIMITS, totalMs: 390 };

/**
 * How a control host answers a call, or a question for the leader: with the
 * address of the leader that it knows, or not at all.
 */
type Behavior = {
  readonly leader: string | null;
} | "silent";

/** Control hosts of which the one that names itself handles calls. */
class FakeFleet implements fleet.RpcCaller {
  /** Called hosts, with a question mark for questions for the leader. */
  calls: string[] = [];
  readonly behaviors: Record<string, Behavior>;
  /** Time that a host takes to answer, in milliseconds. */
  responseMs = 0;

  constructor(behaviors: Record<string, Behavior>) {
    this.behaviors = behaviors;
  }

  get addresses(): string[] {
    return Object.keys(this.behaviors);
  }

  async call(
    peer: string,
    method: string,
    _params: unknown,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<unknown> {
    const isQuestion = method === replication.LEADER_METHOD;
    this.calls.push(isQuestion ? `${peer}?` : peer);
    const behavior = this.behaviors[peer] ?? "silent";
    if (behavior === "silent" || timeoutMs < this.responseMs) {
      await timers.setTimeout(timeoutMs, undefined, { signal })
        .catch(() => undefined);
      throw new fleet.OutcomeUnknown(method, peer, "no answer");
    }
    await timers.setTimeout(this.responseMs);
    const { leader } = behavior;
    if (isQuestion) return { leader };
    if (leader === peer) return "done";
    throw new fleet.NotLeader(method, peer, leader);
  }
}

function createClient(rpc: FakeFleet): fleet.LeaderClient {
  return new fleet.LeaderClient(rpc, rpc.addresses);
}

async function expectFailure(call: Promise<unknown>): Promise<void> {
  await call.then(
    () => expect.fail("the call reached a leader"),
    (error) => expect(error).to.be.instanceOf(Error),
  );
}

/** Response time of a slow leader, in milliseconds. */
const SLOW_RESPONSE_MS = 150;

describe("leader client", () => {
  it("tries unresponsive control hosts last, so that the leader is reached before the timeout", async () => {
    const rpc = new FakeFleet({
      "unresponsive-1": "silent",
      "unresponsive-2": "silent",
      leader: { leader: "leader" },
    });
    rpc.responseMs = RESPONSE_MS;
    const client = createClient(rpc);
    await expectFailure(client.call("m", {}, SHORT_LIMITS));
    rpc.calls = [];
    expect(await client.call("m", {}, LIMITS)).to.equal("done");
    expect(rpc.calls).to.deep.equal(["leader?", "leader"]);
  });

  it("reaches a leader that takes most of an attempt behind silent control hosts", async () => {
    const rpc = new FakeFleet({
      "unresponsive-1": "silent",
      "unresponsive-2": "silent",
      leader: { leader: "leader" },
    });
    rpc.responseMs = SLOW_RESPONSE_MS;
    const client = createClient(rpc);
    await expectFailure(client.call("m", {}, SHORT_LIMITS));
    expect(await client.call("m", {}, LIMITS)).to.equal("done");
  });

  it("goes on with the search where the last call has left it", async () => {
    const rpc = new FakeFleet({
      "silent-1": "silent",
      "silent-2": "silent",
      leader: { leader: "leader" },
    });
    const client = createClient(rpc);
    const startedAt = performance.now();
    const limits = { ...LIMITS, totalMs: 60 };
    let result: unknown;
    while (result === undefined && performance.now() - startedAt < 2_000) {
      result = await client.call("m", {}, limits).catch(() => undefined);
    }
    expect(result).to.equal("done");
    expect(rpc.calls)
      .to.deep.equal(["silent-1?", "silent-2?", "leader?", "leader"]);
  });

  it("does not follow a host's hint to a leader that is silent", async () => {
    const rpc = new FakeFleet({
      "old-leader": "silent",
      follower: { leader: "old-leader" },
      "new-leader": { leader: "new-leader" },
    });
    const client = createClient(rpc);
    const limits = { attemptMs: 200, totalMs: 1_000, retryable: true };
    expect(await client.call("m", {}, limits)).to.equal("done");
    expect(rpc.calls).to.deep.equal([
      "old-leader?",
      "follower?",
      "new-leader?",
      "new-leader",
    ]);
    rpc.calls = [];
    client.forgetLeader("new-leader");
    expect(await client.call("m", {}, limits)).to.equal("done");
    expect(rpc.calls)
      .to.deep.equal(["follower?", "new-leader?", "new-leader"]);
  });

  it("tries a silent leader again that only another host knows of", async () => {
    const rpc = new FakeFleet({ seed: { leader: "leader" } });
    const client = createClient(rpc);
    const limits = { attemptMs: 100, totalMs: 180, retryable: true };
    await expectFailure(client.call("m", {}, limits));
    rpc.behaviors.leader = { leader: "leader" };
    const laterLimits = { ...limits, totalMs: 1_000 };
    expect(await client.call("m", {}, laterLimits)).to.equal("done");
  });

  it("calls the leader that it is told of instead of one that went silent", async () => {
    const rpc = new FakeFleet({
      "old-leader": { leader: "old-leader" },
      "new-leader": { leader: null },
    });
    const client = createClient(rpc);
    await client.call("m", {}, LIMITS);
    rpc.behaviors["old-leader"] = "silent";
    rpc.behaviors["new-leader"] = { leader: "new-leader" };
    rpc.calls = [];
    client.setLeader("new-leader");
    await client.call("m", {}, LIMITS);
    expect(rpc.calls).to.deep.equal(["new-leader"]);
  });

  it("creates the parameters again for each attempt", async () => {
    const sent: unknown[] = [];
    const client = new fleet.LeaderClient({
      call(peer, method, params) {
        if (method === replication.LEADER_METHOD) {
          return Promise.resolve({ leader: peer });
        }
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

  it("asks once for all calls that wait for a leader", async () => {
    const rpc = new FakeFleet({ leader: { leader: "leader" } });
    rpc.responseMs = RESPONSE_MS;
    const client = createClient(rpc);
    const call = () => client.call("m", {}, LIMITS);
    await Promise.all([call(), call(), call()]);
    expect(rpc.calls).to.deep.equal(["leader?", "leader", "leader", "leader"]);
  });

  it("finds the same leader again that has missed one call", async () => {
    const rpc = new FakeFleet({
      leader: { leader: "leader" },
      follower: { leader: "leader" },
    });
    const client = createClient(rpc);
    await client.call("m", {}, LIMITS);
    rpc.behaviors.leader = "silent";
    await expectFailure(
      client.call("m", {}, { attemptMs: 40, totalMs: 40, retryable: false }),
    );
    rpc.behaviors.leader = { leader: "leader" };
    rpc.calls = [];
    expect(await client.call("m", {}, LIMITS)).to.equal("done");
    expect(rpc.calls).to.deep.equal(["follower?", "leader?", "leader"]);
  });

  it("calls the new leader at once when a call still waits at the lost one", async () => {
    const rpc = new FakeFleet({
      "old-leader": { leader: "old-leader" },
      "new-leader": { leader: "new-leader" },
    });
    const client = createClient(rpc);
    await client.call("m", {}, LIMITS);
    rpc.behaviors["old-leader"] = "silent";
    const startedAt = performance.now();
    const watch = client.call("watch", {}, {
      attemptMs: 5_000,
      totalMs: 5_000,
      retryable: true,
    });
    await expectFailure(
      client.call("report", {}, { ...LIMITS, retryable: false }),
    );
    expect(await watch).to.equal("done");
    expect(performance.now() - startedAt).to.be.below(2_000);
  });

  it("does not repeat a call elsewhere that must not run twice", async () => {
    const rpc = new FakeFleet({
      "old-leader": { leader: "old-leader" },
      "new-leader": { leader: "new-leader" },
    });
    const client = createClient(rpc);
    await client.call("m", {}, LIMITS);
    rpc.behaviors["old-leader"] = "silent";
    const once = client.call("once", {}, { ...LIMITS, retryable: false });
    client.setLeader("new-leader");
    await expectFailure(once);
    expect(rpc.calls.filter((peer) => peer === "new-leader")).to.have.length(0);
  });
});

describe("leader lookup", () => {
  const WAIT_MS = 300;

  it("holds a question until another leader is known than the lost one", async () => {
    let leader: string | null = "old";
    using lookup = new fleet.LeaderLookup({
      address: "self",
      isLeading: () => false,
      leaderAddress: () => leader,
    });
    const find = (lost: string | null) =>
      lookup.find({ lost, waitMs: WAIT_MS });
    expect(await find(null)).to.deep.equal({ leader: "old" });
    const held = find("old");
    await timers.setTimeout(50);
    leader = "new";
    const changedAt = performance.now();
    expect(await held).to.deep.equal({ leader: "new" });
    expect(performance.now() - changedAt).to.be.below(WAIT_MS / 2);
  });

  it("names what it knows when no other leader is known in time", async () => {
    using lookup = new fleet.LeaderLookup({
      address: "self",
      isLeading: () => false,
      leaderAddress: () => "old",
    });
    const startedAt = performance.now();
    expect(await lookup.find({ lost: "old", waitMs: WAIT_MS }))
      .to.deep.equal({ leader: "old" });
    expect(performance.now() - startedAt).to.be.within(WAIT_MS - 5, 1_000);
  });

  it("names itself only when it handles calls", async () => {
    let isLeading = false;
    using lookup = new fleet.LeaderLookup({
      address: "self",
      isLeading: () => isLeading,
      leaderAddress: () => "self",
    });
    const held = lookup.find({ lost: "self", waitMs: WAIT_MS });
    expect(await lookup.find({ lost: null, waitMs: 0 }))
      .to.deep.equal({ leader: null });
    isLeading = true;
    expect(await held).to.deep.equal({ leader: "self" });
  });
});
