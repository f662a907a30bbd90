import type { gateway } from "@ebonypath/protocol";
import { expect } from "chai";
import {
  needsSuccessor,
  RemovalNotices,
  ServerRegistry,
} from "../../src/gateway/mod.ts";
import * as fixtures from "./fixtures.ts";

const { born } = fixtures.heartbeat();

/** A heartbeat of a server that is removed at short notice. */
function draining(sequence: number, remainingMs: number): gateway.Heartbeat {
  return fixtures.heartbeat({ sequence, remainingMs, state: "draining" });
}

describe("notices of removal", () => {
  it("let the earliest end of a start stand", () => {
    const notices = new RemovalNotices();
    const start = { id: "s1", born };
    expect(notices.record(start, 2_000, 1_000)).to.equal(true);
    // A late report of the same time, and one of an earlier end.
    expect(notices.record(start, 2_000, 1_500)).to.equal(false);
    expect(notices.endsAt(start)).to.equal(3_000);
    expect(notices.record(start, 500, 1_500)).to.equal(true);
    expect(notices.endsAt(start)).to.equal(2_000);
    expect(notices.isOver(start, 1_999)).to.equal(false);
    expect(notices.isOver(start, 2_000)).to.equal(true);
  });

  it("concern no other start", () => {
    const notices = new RemovalNotices();
    notices.record({ id: "s1", born }, 0, 0);
    expect(notices.endsAt({ id: "s1", born: born + 1 })).to.equal(undefined);
    notices.record({ id: "s1", born: born + 1 }, 9_000, 0);
    expect(notices.record({ id: "s1", born }, 0, 0)).to.equal(false);
    expect(notices.endsAt({ id: "s1", born: born + 1 })).to.equal(9_000);
  });

  it("call for a successor of what can't be finished in time", () => {
    const run = { startedAt: 0, longestRunMs: 1_000, isRetryable: true };
    expect(needsSuccessor(run, 1_001)).to.equal(false);
    expect(needsSuccessor(run, 900)).to.equal(true);
    expect(needsSuccessor({ ...run, longestRunMs: undefined }, 9_000))
      .to.equal(true);
    expect(needsSuccessor({ ...run, isRetryable: false }, 0)).to.equal(false);
  });
});

describe("gateway server registry, of a server that is removed", () => {
  it("tells hosts its earliest end, and only earlier ones again", () => {
    const registry = new ServerRegistry();
    registry.applyHeartbeat(draining(1, 2_000), 1_000);
    const { urgentRevision } = registry;
    registry.applyHeartbeat(draining(2, 1_900), 1_600);
    expect(registry.urgentRevision).to.equal(urgentRevision);
    const [record] = registry.changesSince(0, 1_600);
    // Relative to its last heartbeat.
    expect(record?.remainingMs).to.equal(1_400);
    registry.applyHeartbeat(draining(3, 500), 1_700);
    expect(registry.urgentRevision).to.be.above(urgentRevision);
  });

  it("counts it as ended when its time has run out", () => {
    const registry = new ServerRegistry();
    registry.applyHeartbeat(draining(1, 2_000), 1_000);
    expect(registry.expire(2_999)).to.equal(false);
    expect(registry.expire(3_000)).to.equal(true);
    expect(registry.get("s1")?.state).to.equal("ended");
    expect(registry.expire(3_001)).to.equal(false);
  });

  it("knows its end from an earlier leader's record", () => {
    const earlier = new ServerRegistry();
    earlier.applyHeartbeat(draining(1, 2_000), 1_000);
    const registry = new ServerRegistry();
    // Another host's clock.
    registry.mergeRecords(earlier.changesSince(0, 1_500), 70_000);
    expect(registry.removalAt({ id: "s1", born })).to.equal(71_500);
  });

  it("knows its end from a report that it asked for", () => {
    const registry = new ServerRegistry();
    registry.applyHeartbeat(fixtures.heartbeat(), 0);
    const report = { models: [], inMemory: [], onDisk: [], remainingMs: 800 };
    registry.applyReport({ id: "s1", born }, report, 100);
    expect(registry.get("s1")?.state).to.equal("draining");
    expect(registry.removalAt({ id: "s1", born })).to.equal(900);
  });
});
