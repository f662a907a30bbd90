import { expect } from "chai";
import { Roster } from "../../src/gateway/mod.ts";
import * as fixtures from "./fixtures.ts";

const { heartbeat } = fixtures;

describe("gateway roster", () => {
  it("takes nothing back for a late heartbeat", () => {
    const roster = new Roster();
    roster.hear(heartbeat({ sequence: 5, state: "draining" }), 0);
    expect(roster.hear(heartbeat({ sequence: 4 }), 1)).to.equal(false);
    expect(roster.get("s1")?.state).to.equal("draining");
  });

  it("takes a new start under the same id, and none that is older", () => {
    const roster = new Roster();
    roster.hear(heartbeat({ sequence: 9, models: [fixtures.held("a")] }), 0);
    roster.hear(heartbeat({ born: 2_000, sequence: 1 }), 1);
    expect(roster.get("s1")?.models).to.deep.equal([]);
    expect(roster.hear(heartbeat({ sequence: 99 }), 2)).to.equal(false);
  });

  it("ends a server whose address has one that started later", () => {
    const roster = new Roster();
    roster.hear(heartbeat(), 0);
    roster.hear(heartbeat({ id: "s2", born: 2_000, service: "orders" }), 1);
    expect(roster.live().map(({ id }) => id)).to.deep.equal(["s2"]);
    expect(roster.hear(heartbeat({ sequence: 8 }), 2)).to.equal(false);
  });

  it("ignores heartbeats of a start that was said to have ended", () => {
    const roster = new Roster();
    roster.hear(heartbeat(), 0);
    roster.end("s1", 1);
    expect(roster.hear(heartbeat({ sequence: 2 }), 2)).to.equal(false);
    expect(roster.live()).to.deep.equal([]);
    expect(roster.hear(heartbeat({ born: 2_000 }), 3)).to.equal(true);
  });

  it("remembers for a while that an unknown server has ended", () => {
    const roster = new Roster();
    roster.end("s1", 0);
    expect(roster.hear(heartbeat(), 100)).to.equal(false);
    roster.expire(10_000);
    expect(roster.hear(heartbeat(), 10_000)).to.equal(true);
  });

  it("tells only what has changed since a revision", () => {
    const roster = new Roster();
    roster.hear(heartbeat(), 0);
    const { revision } = roster;
    roster.hear(heartbeat({ sequence: 2 }), 1);
    expect(roster.since(revision, 1)).to.deep.equal([]);
    roster.hear(heartbeat({ sequence: 3, state: "draining" }), 2);
    expect(roster.since(revision, 2).map(({ state }) => state))
      .to.deep.equal(["draining"]);
  });

  it("tells that a server is lost, and takes it back when it is heard", () => {
    const roster = new Roster();
    roster.hear(heartbeat(), 0);
    expect(roster.expire(5_000)).to.equal(false);
    expect(roster.expire(9_000)).to.equal(true);
    expect(roster.get("s1")?.state).to.equal("lost");
    expect(roster.hear(heartbeat({ sequence: 2 }), 9_500)).to.equal(true);
    expect(roster.get("s1")?.state).to.equal("ready");
  });

  it("believes answers to the leader rather than late heartbeats", () => {
    const roster = new Roster();
    roster.hear(heartbeat(), 0);
    const report = {
      models: [fixtures.held("a")],
      isBusy: false,
      orders: 1,
      pendingAdapters: 0,
      inMemory: ["a"],
      onDisk: ["a"],
    };
    roster.observe("s1", report);
    roster.hear(heartbeat({ sequence: 2, state: "draining" }), 1);
    expect(roster.get("s1")).to.include({ state: "draining" });
    expect(roster.get("s1")?.models).to.deep.equal([fixtures.held("a")]);
    roster.hear(heartbeat({ sequence: 1, born: 2_000 }), 2);
    expect(roster.get("s1")?.models).to.deep.equal([]);
  });

  it("adopts records of entry hosts unless the server itself was heard", () => {
    const roster = new Roster();
    roster.hear(heartbeat({ sequence: 3 }), 0);
    const old = { ...heartbeat({ sequence: 2, state: "draining" as const }) };
    const ended = heartbeat({ id: "s2", state: "ended", address: "h:2" });
    roster.adopt([
      { ...old, silentMs: 10, leaving: [] },
      { ...ended, silentMs: 10, leaving: [] },
    ], 1);
    expect(roster.get("s1")?.state).to.equal("ready");
    expect(roster.hear({ ...ended, state: "ready", sequence: 9 }, 2))
      .to.equal(false);
  });
});
