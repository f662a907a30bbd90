import type * as protocol from "@ebonypath/protocol";
import { expect } from "chai";
import * as fleetState from "../../src/host/fleet_state.ts";

const CONTROL_HOSTS: protocol.control.ControlHost[] = [];

/** A snapshot that puts a version in force at a log index. */
function snapshot(
  index: number,
  version: number,
): protocol.control.FeedEvent {
  return {
    kind: "snapshot",
    term: 1,
    view: {
      index,
      version,
      configuration: { workspaces: [], services: [] },
      keys: [],
      withdrawnFailureDomains: [],
      quarantines: [],
    },
    servers: [],
    controlHosts: CONTROL_HOSTS,
  };
}

/** News that puts a version in force at a log index. */
function published(
  index: number,
  version: number,
): protocol.control.FeedEvent {
  const configuration = { workspaces: [], services: [] };
  return {
    kind: "changes",
    index,
    changes: [{ kind: "configuration", version, configuration }],
  };
}

describe("what a host takes from the feed", () => {
  let state: fleetState.FleetState;

  beforeEach(() => {
    state = new fleetState.FleetState();
    state.apply(snapshot(10, 4));
    state.apply(published(12, 5));
  });

  it("puts newer versions in force", () => {
    expect(state.view.version).to.equal(5);
    expect(state.index).to.equal(12);
  });

  it("never goes back to an earlier snapshot", () => {
    expect(() => state.apply(snapshot(11, 4)))
      .to.throw(fleetState.FeedRegressionError);
    expect(state.view.version).to.equal(5);
    expect(state.index).to.equal(12);
  });

  it("never goes back to earlier changes", () => {
    state.apply(published(11, 4));
    expect(state.view.version).to.equal(5);
    expect(state.index).to.equal(12);
  });
});
