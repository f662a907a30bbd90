import { expect } from "chai";
import { ServerRegistry } from "../../src/gateway/mod.ts";
import * as fixtures from "./fixtures.ts";

const { heartbeat } = fixtures;

describe("gateway server registry", () => {
  it("ignores a late heartbeat", () => {
    const registry = new ServerRegistry();
    registry.applyHeartbeat(heartbeat({ sequence: 5, state: "draining" }), 0);
    expect(registry.applyHeartbeat(heartbeat({ sequence: 4 }), 1)).to.equal(
      false,
    );
    expect(registry.get("s1")?.state).to.equal("draining");
  });

  it("keeps a server draining that has told a host that it leaves", () => {
    const registry = new ServerRegistry();
    registry.applyHeartbeat(heartbeat({ born: 1_000, sequence: 1 }), 0);
    const { urgentRevision } = registry;
    registry.markLeaving({ id: "s1", born: 999 });
    expect(registry.get("s1")?.state).to.equal("ready");
    registry.markLeaving({ id: "s1", born: 1_000 });
    expect(registry.urgentRevision).to.be.above(urgentRevision);
    registry.applyHeartbeat(heartbeat({ born: 1_000, sequence: 2 }), 1);
    expect(registry.get("s1")?.state).to.equal("draining");
    registry.applyHeartbeat(heartbeat({ born: 2_000, sequence: 1 }), 2);
    expect(registry.get("s1")?.state).to.equal("ready");
  });

  it("replaces a start by a newer one under the same id only", () => {
    const registry = new ServerRegistry();
    registry.applyHeartbeat(
      heartbeat({ sequence: 9, models: [fixtures.heldModel("a")] }),
      0,
    );
    registry.applyHeartbeat(heartbeat({ born: 2_000, sequence: 1 }), 1);
    expect(registry.get("s1")?.models).to.deep.equal([]);
    expect(registry.applyHeartbeat(heartbeat({ sequence: 99 }), 2)).to.equal(
      false,
    );
  });

  it("marks a server as ended if a later one uses its address", () => {
    const registry = new ServerRegistry();
    registry.applyHeartbeat(heartbeat(), 0);
    registry.applyHeartbeat(
      heartbeat({ id: "s2", born: 2_000, service: "orders" }),
      1,
    );
    expect(registry.activeServers().map(({ id }) => id)).to.deep.equal(["s2"]);
    expect(registry.applyHeartbeat(heartbeat({ sequence: 8 }), 2)).to.equal(
      false,
    );
  });

  it("ignores heartbeats of a start that was reported as ended", () => {
    const registry = new ServerRegistry();
    registry.applyHeartbeat(heartbeat(), 0);
    registry.markEnded({ id: "s1", born: heartbeat().born }, 1);
    expect(registry.applyHeartbeat(heartbeat({ sequence: 2 }), 2)).to.equal(
      false,
    );
    expect(registry.activeServers()).to.deep.equal([]);
    expect(registry.applyHeartbeat(heartbeat({ born: 2_000 }), 3)).to.equal(
      true,
    );
  });

  it("ignores an unknown server for a while after its end", () => {
    const registry = new ServerRegistry();
    registry.markEnded({ id: "s1", born: null }, 0);
    expect(registry.applyHeartbeat(heartbeat(), 100)).to.equal(false);
    registry.expire(10_000);
    expect(registry.applyHeartbeat(heartbeat(), 10_000)).to.equal(true);
  });

  // A late end of an earlier start ended the one that runs now, for good.
  it("ends no later start than the one that is meant", () => {
    const registry = new ServerRegistry();
    registry.applyHeartbeat(heartbeat({ born: 2_000 }), 0);
    expect(registry.markEnded({ id: "s1", born: 1_000 }, 1)).to.equal(true);
    expect(registry.get("s1")?.state).to.equal("ready");
    expect(registry.markEnded({ id: "s1", born: 2_000 }, 2)).to.equal(true);
    expect(registry.get("s1")?.state).to.equal("ended");
  });

  it("ends no start that it has heard of since it was asked", () => {
    const registry = new ServerRegistry();
    registry.applyHeartbeat(heartbeat(), 0);
    expect(registry.markEnded({ id: "s1", born: null }, 1)).to.equal(false);
    expect(registry.get("s1")?.state).to.equal("ready");
  });

  it("tells hosts of a start that ended before it was known", () => {
    const registry = new ServerRegistry();
    registry.markEnded({ id: "s1", born: 1_000 }, 0);
    const record = {
      ...heartbeat({ born: 1_000 }),
      silentMs: 10,
      leaving: [],
    };
    registry.mergeRecords([record], 1);
    expect(registry.changesSince(0, 1).map(({ state }) => state))
      .to.deep.equal(["ended"]);
    expect(registry.applyHeartbeat(heartbeat({ born: 2_000 }), 2))
      .to.equal(true);
    expect(registry.get("s1")?.state).to.equal("ready");
  });

  it("applies to a start only what an order at the same start has shown", () => {
    const registry = new ServerRegistry();
    registry.applyHeartbeat(heartbeat({ born: 2_000 }), 0);
    const models = [fixtures.heldModel("a")];
    const earlier = { id: "s1", born: 1_000 };
    registry.applyReport(earlier, { models, inMemory: [], onDisk: [] });
    registry.setUnloadingModels(earlier, new Set(["a"]));
    const [record] = registry.changesSince(0, 0);
    expect(record).to.deep.include({ models: [], leaving: [] });
  });

  it("returns only what has changed since a revision", () => {
    const registry = new ServerRegistry();
    registry.applyHeartbeat(heartbeat(), 0);
    const { revision } = registry;
    registry.applyHeartbeat(heartbeat({ sequence: 2 }), 1);
    expect(registry.changesSince(revision, 1)).to.deep.equal([]);
    registry.applyHeartbeat(heartbeat({ sequence: 3, state: "draining" }), 2);
    expect(registry.changesSince(revision, 2).map(({ state }) => state))
      .to.deep.equal(["draining"]);
  });

  it("marks a silent server as lost until its next heartbeat", () => {
    const registry = new ServerRegistry();
    registry.applyHeartbeat(heartbeat(), 0);
    expect(registry.expire(5_000)).to.equal(false);
    expect(registry.expire(9_000)).to.equal(true);
    expect(registry.get("s1")?.state).to.equal("lost");
    expect(registry.applyHeartbeat(heartbeat({ sequence: 2 }), 9_500)).to.equal(
      true,
    );
    expect(registry.get("s1")?.state).to.equal("ready");
  });

  it("keeps models reported to the leader over those of heartbeats", () => {
    const registry = new ServerRegistry();
    registry.applyHeartbeat(heartbeat(), 0);
    const report = {
      models: [fixtures.heldModel("a")],
      isBusy: false,
      orders: 1,
      pendingAdapters: 0,
      inMemory: ["a"],
      onDisk: ["a"],
    };
    registry.applyReport({ id: "s1", born: heartbeat().born }, report);
    registry.applyHeartbeat(heartbeat({ sequence: 2, state: "draining" }), 1);
    expect(registry.get("s1")).to.include({ state: "draining" });
    expect(registry.get("s1")?.models).to.deep.equal([fixtures.heldModel("a")]);
    registry.applyHeartbeat(heartbeat({ sequence: 1, born: 2_000 }), 2);
    expect(registry.get("s1")?.models).to.deep.equal([]);
  });

  it("does not deem a server lost of which a host was told of no change lately", () => {
    const registry = new ServerRegistry();
    const record = { ...heartbeat(), silentMs: 70_000, leaving: [] };
    registry.mergeRecords([record], 0);
    expect(registry.expire(1_000)).to.equal(false);
    expect(registry.get("s1")?.state).to.equal("ready");
    expect(registry.expire(9_000)).to.equal(true);
    expect(registry.get("s1")?.state).to.equal("lost");
  });

  it("merges records of entry hosts only if they are newer", () => {
    const registry = new ServerRegistry();
    registry.applyHeartbeat(heartbeat({ sequence: 3 }), 0);
    const outdated = {
      ...heartbeat({ sequence: 2, state: "draining" as const }),
    };
    const ended = heartbeat({ id: "s2", state: "ended", address: "h:2" });
    registry.mergeRecords([
      { ...outdated, silentMs: 10, leaving: [] },
      { ...ended, silentMs: 10, leaving: [] },
    ], 1);
    expect(registry.get("s1")?.state).to.equal("ready");
    expect(
      registry.applyHeartbeat({ ...ended, state: "ready", sequence: 9 }, 2),
    )
      .to.equal(false);
  });
});
