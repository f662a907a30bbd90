import type * as protocol from "@ebonypath/protocol";
import { expect } from "chai";
import * as fleetState from "../../src/host/fleet_state.ts";

const CONTROL_HOSTS: protocol.control.ControlHost[] = [];

/** Creates a snapshot with a configuration version at a log index. */
function createSnapshot(
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

/** Creates changes that activate a configuration version at a log index. */
function createChanges(
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

describe("fleet state", () => {
  let state: fleetState.FleetState;

  beforeEach(() => {
    state = new fleetState.FleetState();
    state.apply(createSnapshot(10, 4));
    state.apply(createChanges(12, 5));
  });

  it("applies newer versions", () => {
    expect(state.view.version).to.equal(5);
    expect(state.index).to.equal(12);
  });

  it("rejects a snapshot that is older than the view", () => {
    expect(() => state.apply(createSnapshot(11, 4)))
      .to.throw(fleetState.FeedRegressionError);
    expect(state.view.version).to.equal(5);
    expect(state.index).to.equal(12);
  });

  it("ignores changes that are older than the view", () => {
    state.apply(createChanges(11, 4));
    expect(state.view.version).to.equal(5);
    expect(state.index).to.equal(12);
  });
});
