import { expect } from "chai";
import { ServerRegistry } from "../../src/gateway/mod.ts";
import * as fixtures from "./fixtures.ts";

const { heartbeat } = fixtures;

describe("gateway roster", () => {
  it("takes nothing back for a late heartbeat", () => {
    const roster = new ServerRegistry();
    roster.applyHeartbeat(heartbeat({ sequence: 5, state: "draining" }), 0);
    expect(roster.applyHeartbeat(heartbeat({ sequence: 4 }), 1)).to.equal(
      false,
    );
    expect(roster.get("s1")?.state).to.equal("draining");
  });

  it("takes a new start under the same id, and none that is older", () => {
    const roster = new ServerRegistry();
    roster.applyHeartbeat(
      heartbeat({ sequence: 9, models: [fixtures.held("a")] }),
      0,
    );
    roster.applyHeartbeat(heartbeat({ born: 2_000, sequence: 1 }), 1);
    expect(roster.get("s1")?.models).to.deep.equal([]);
    expect(roster.applyHeartbeat(heartbeat({ sequence: 99 }), 2)).to.equal(
      false,
    );
  });

  it("ends a server whose address has one that started later", () => {
    const roster = new ServerRegistry();
    roster.applyHeartbeat(heartbeat(), 0);
    roster.applyHeartbeat(
      heartbeat({ id: "s2", born: 2_000, service: "orders" }),
      1,
    );
    expect(roster.activeServers().map(({ id }) => id)).to.deep.equal(["s2"]);
    expect(roster.applyHeartbeat(heartbeat({ sequence: 8 }), 2)).to.equal(
      false,
    );
  });

  it("ignores heartbeats of a start that was said to have ended", () => {
    const roster = new ServerRegistry();
    roster.applyHeartbeat(heartbeat(), 0);
    roster.markEnded("s1", 1);
    expect(roster.applyHeartbeat(heartbeat({ sequence: 2 }), 2)).to.equal(
      false,
    );
    expect(roster.activeServers()).to.deep.equal([]);
    expect(roster.applyHeartbeat(heartbeat({ born: 2_000 }), 3)).to.equal(true);
  });

  it("remembers for a while that an unknown server has ended", () => {
    const roster = new ServerRegistry();
    roster.markEnded("s1", 0);
    expect(roster.applyHeartbeat(heartbeat(), 100)).to.equal(false);
    roster.expire(10_000);
    expect(roster.applyHeartbeat(heartbeat(), 10_000)).to.equal(true);
  });

  it("tells only what has changed since a revision", () => {
    const roster = new ServerRegistry();
    roster.applyHeartbeat(heartbeat(), 0);
    const { revision } = roster;
    roster.applyHeartbeat(heartbeat({ sequence: 2 }), 1);
    expect(roster.changesSince(revision, 1)).to.deep.equal([]);
    roster.applyHeartbeat(heartbeat({ sequence: 3, state: "draining" }), 2);
    expect(roster.changesSince(revision, 2).map(({ state }) => state))
      .to.deep.equal(["draining"]);
  });

  it("tells that a server is lost, and takes it back when it is heard", () => {
    const roster = new ServerRegistry();
    roster.applyHeartbeat(heartbeat(), 0);
    expect(roster.expire(5_000)).to.equal(false);
    expect(roster.expire(9_000)).to.equal(true);
    expect(roster.get("s1")?.state).to.equal("lost");
    expect(roster.applyHeartbeat(heartbeat({ sequence: 2 }), 9_500)).to.equal(
      true,
    );
    expect(roster.get("s1")?.state).to.equal("ready");
  });

  it("believes answers to the leader rather than late heartbeats", () => {
    const roster = new ServerRegistry();
    roster.applyHeartbeat(heartbeat(), 0);
    const report = {
      models: [fixtures.held("a")],
      isBusy: false,
      orders: 1,
      pendingAdapters: 0,
      inMemory: ["a"],
      onDisk: ["a"],
    };
    roster.applyReport("s1", report);
    roster.applyHeartbeat(heartbeat({ sequence: 2, state: "draining" }), 1);
    expect(roster.get("s1")).to.include({ state: "draining" });
    expect(roster.get("s1")?.models).to.deep.equal([fixtures.held("a")]);
    roster.applyHeartbeat(heartbeat({ sequence: 1, born: 2_000 }), 2);
    expect(roster.get("s1")?.models).to.deep.equal([]);
  });

  it("adopts records of entry hosts unless the server itself was heard", () => {
    const roster = new ServerRegistry();
    roster.applyHeartbeat(heartbeat({ sequence: 3 }), 0);
    const old = { ...heartbeat({ sequence: 2, state: "draining" as const }) };
    const ended = heartbeat({ id: "s2", state: "ended", address: "h:2" });
    roster.mergeRecords([
      { ...old, silentMs: 10, leaving: [] },
      { ...ended, silentMs: 10, leaving: [] },
    ], 1);
    expect(roster.get("s1")?.state).to.equal("ready");
    expect(roster.applyHeartbeat({ ...ended, state: "ready", sequence: 9 }, 2))
      .to.equal(false);
  });
});
