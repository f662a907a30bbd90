import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import { expect } from "chai";
import * as entry from "../../src/entry/mod.ts";

const MODEL = {
  name: "last",
  version: "1",
  bytes: 1,
  kvBytes: 1,
  maxReplicas: 1,
  defaultMaxTokens: 256,
  adapters: [],
};
const TIER = {
  name: "now",
  maxWaitMs: 5_000,
  priceFactor: 1,
  delivery: "connected",
} as const;
const ENGINE: protocol.control.ServerStatus = {
  id: "engine-1",
  incarnation: "a",
  address: "http://127.0.0.1:1",
  failureDomain: "fd-1",
  kind: "engine",
  services: [],
  ready: ["advice/last"],
  limit: 8,
  queued: 0,
  usable: true,
};

/** Explains a request for a model from what a host knows. */
function explain(
  servers: readonly protocol.control.ServerStatus[],
  waitingTokens = 0,
): protocol.operators.Explanation {
  const view = new core.state.FleetViewCache();
  view.reset({
    index: 1,
    version: 1,
    configuration: {
      workspaces: [{
        name: "web",
        rate: 100,
        burst: 1_000,
        weight: 1,
        deferredLimit: 1,
      }],
      services: [{
        name: "advice",
        kind: "model",
        workspaces: ["web"],
        models: [MODEL],
        routes: [],
        tiers: [TIER],
      }],
    },
    keys: [{
      id: "k-1",
      digest: "d",
      workspace: "web",
      label: "",
      grantedMs: 0,
    }],
    withdrawnFailureDomains: ["fd-9"],
    quarantines: [],
  });
  const explainer = new entry.Explainer({
    identity: { name: "host-1", incarnation: "i", failureDomain: "fd-1" },
    state: {
      view,
      servers: new Map(servers.map((server) => [server.id, server])),
      isCurrent: () => true,
    },
    shares: {
      availableSlots: () => 2,
      availableTokens: () => 500,
      runningOn: () => 1,
      tokenShare: () => ({ capacity: 500, rate: 100 }),
    },
    admission: { waitingTokens: () => waitingTokens },
    placement: {
      dispatchDeadline: () => 4_000,
      expectedWaitMs: () => 0,
      outliers: new core.routing.OutlierDetector(),
    },
    now: () => 0,
  });
  return explainer.explain({ target: "advice/last", key: "k-1" });
}

describe("Explainer", () => {
  it("sends a request to the engine that has its model", () => {
    const servers = [
      ENGINE,
      { ...ENGINE, id: "engine-2", ready: [], loading: ["advice/last"] },
      { ...ENGINE, id: "engine-3", failureDomain: "fd-9" },
      { ...ENGINE, id: "plain-1", kind: "plain" as const },
    ];
    const { candidates, forecast } = explain(servers);
    expect(forecast).to.deep.equal({ kind: "starts", servers: ["engine-1"] });
    expect(candidates.map(({ obstacles, server }) => [server, ...obstacles]))
      .to.deep.equal([
        ["engine-1"],
        ["engine-2", "model-loading"],
        ["engine-3", "withdrawn-failure-domain"],
      ]);
  });

  it("reserves the model's default of tokens", () => {
    expect(explain([ENGINE]).tokens).to.equal(256);
  });

  it("tells the caller of a request that is refused when to come back", () => {
    expect(explain([ENGINE], 1_000).forecast).to.deep.equal({
      kind: "refused",
      for: "tokens",
      status: 429,
      retryAfterSeconds: 3.56,
    });
  });
});
