import { expect } from "chai";
import * as serverTracker from "../../src/gateway/entry/server_tracker.ts";

describe("the load of a server", () => {
  it("no longer counts requests of other hosts that the leader told of long ago", () => {
    const tracker = new serverTracker.ServerTracker(() => {});
    tracker.applyFleetLoad([{ server: "s1", running: 8 }], 1_000);
    expect(tracker.loadOf("s1", 2_900)).to.equal(8);
    expect(tracker.loadOf("s1", 3_100)).to.equal(0);
    tracker.applyFleetLoad([{ server: "s1", running: 3 }], 4_000);
    expect(tracker.loadOf("s1", 4_100)).to.equal(3);
  });
});
